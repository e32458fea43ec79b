#include "soak/organisations.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <numeric>
#include <random>

namespace boragepath::soak {

namespace json = boost::json;

namespace {

struct Size
{
    double load;
    double ratePerSecond;
    double burst;
    std::size_t keys;
    int priority;
    int removals;
};

/** The last two are absent until a fault adds them. */
constexpr Size Sizes[] = {
    {3, 0, 0, 3, 1, 0}, {3, 12, 20, 3, 0, 0}, {2, 8, 10, 2, 1, 0}, {1, 4, 6, 2, 2, 0},
    {1, 2, 4, 2, 1, 0}, {1, 0, 0, 2, 2, 0},   {1, 5, 5, 2, 0, 1},  {1, 0, 0, 2, 1, 1},
};

double windowBound(const OrganisationEntry &entry)
{
    if (entry.ratePerSecond == 0) {
        return std::numeric_limits<double>::infinity();
    }
    const double requests =
        entry.ratePerSecond * static_cast<double>(QuotaWindow.count()) + entry.burst;
    return requests * (1 + QuotaOverage) + QuotaSlackRequests;
}

} // namespace

std::string organisationSettings()
{
    return absl::StrCat("bounds.strictRevoke=true\nbounds.revokeMs=", RevokeTime.count(),
                        "\nbounds.quotaWindowS=", QuotaWindow.count(),
                        "\nbounds.quotaOverage=", QuotaOverage,
                        "\nbounds.quotaSlack=", QuotaSlackRequests, "\n");
}

std::vector<SoakOrganisation> makeOrganisations(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<SoakOrganisation> organisations;
    for (const Size &size : Sizes) {
        SoakOrganisation organisation;
        organisation.name = absl::StrCat("organisation-", organisations.size());
        for (std::size_t index = 0; index < size.keys; ++index) {
            organisation.keys.push_back({absl::StrCat(KeyMark, absl::Hex(random())), 0});
        }
        organisation.priority = size.priority;
        organisation.ratePerSecond = size.ratePerSecond;
        organisation.burst = size.burst;
        organisation.load = size.load;
        organisation.removals = size.removals;
        organisations.push_back(std::move(organisation));
    }
    return organisations;
}

double usualLoad(const std::vector<SoakOrganisation> &organisations)
{
    return std::accumulate(
        organisations.begin(), organisations.end(), 0.0,
        [](double sum, const SoakOrganisation &item) { return sum + item.load; });
}

double currentLoad(const std::vector<SoakOrganisation> &organisations)
{
    return std::accumulate(
        organisations.begin(), organisations.end(), 0.0,
        [](double sum, const SoakOrganisation &item) { return sum + item.load * item.loadFactor; });
}

std::vector<OrganisationEntry>
configuredOrganisations(const std::vector<SoakOrganisation> &organisations)
{
    std::vector<OrganisationEntry> entries;
    for (const SoakOrganisation &organisation : organisations) {
        if (organisation.removals > 0) {
            continue;
        }
        OrganisationEntry entry{organisation.name,
                                {},
                                organisation.priority,
                                organisation.ratePerSecond * organisation.quotaFactor,
                                organisation.burst * organisation.quotaFactor};
        for (const SoakKey &key : organisation.keys) {
            if (key.withdrawals == 0) {
                entry.apiKeys.push_back(key.text);
            }
        }
        entries.push_back(std::move(entry));
    }
    return entries;
}

json::array encodeTenants(const std::vector<OrganisationEntry> &entries)
{
    json::array tenants;
    for (const OrganisationEntry &entry : entries) {
        json::object tenant{{"name", entry.name},
                            {"apiKeys", json::value_from(entry.apiKeys)},
                            {"priority", entry.priority}};
        if (entry.ratePerSecond > 0) {
            tenant["ratePerS"] = entry.ratePerSecond;
            tenant["burst"] = entry.burst;
        }
        tenants.push_back(std::move(tenant));
    }
    return tenants;
}

void KeyHistory::apply(const std::vector<OrganisationEntry> &entries, SteadyTime confirmedAt)
{
    std::map<std::string, std::string> holders;
    for (const OrganisationEntry &entry : entries) {
        for (const std::string &key : entry.apiKeys) {
            holders[key] = entry.name;
        }
    }
    for (auto &[key, holdings] : m_holdings) {
        const auto holder = holders.find(key);
        Holding &latest = holdings.back();
        const bool isSame = holder != holders.end() && holder->second == latest.organisation;
        if (!latest.removedAt.has_value() && !isSame) {
            latest.removedAt = confirmedAt;
        }
    }
    for (const auto &[key, organisation] : holders) {
        std::vector<Holding> &holdings = m_holdings[key];
        if (holdings.empty() || holdings.back().removedAt.has_value()) {
            holdings.push_back({organisation, confirmedAt, std::nullopt});
        }
    }
}

std::set<std::string> KeyHistory::organisationsOf(const std::string &key, SteadyTime sentAt) const
{
    std::set<std::string> organisations;
    const auto found = m_holdings.find(key);
    if (found != m_holdings.end()) {
        for (const Holding &holding : found->second) {
            if (!holding.removedAt.has_value() || sentAt <= *holding.removedAt + RevokeTime) {
                organisations.insert(holding.organisation);
            }
        }
    }
    return organisations;
}

std::set<std::string> KeyHistory::everHeldBy(const std::string &key) const
{
    return organisationsOf(key, SteadyTime::min());
}

bool KeyHistory::isHeldSince(const std::string &key, SteadyTime time) const
{
    const auto found = m_holdings.find(key);
    return found != m_holdings.end() && !found->second.back().removedAt.has_value()
        && found->second.back().confirmedAt <= time;
}

void StoreAccess::change(Path &path, bool begins, SteadyTime now)
{
    path.disruptions += begins ? 1 : -1;
    path.changedAt = now;
}

void StoreAccess::recordVm(const Endpoint &front, bool paused, SteadyTime now)
{
    m_vms[front].paused = paused;
    m_vms[front].changedAt = now;
}

std::optional<SteadyTime> StoreAccess::since(const Endpoint &front) const
{
    const auto vm = m_vms.find(front);
    const Path path = vm == m_vms.end() ? Path() : vm->second;
    if (m_store.disruptions > 0 || path.disruptions > 0 || path.paused) {
        return std::nullopt;
    }
    return std::max(m_store.changedAt, path.changedAt);
}

std::optional<SteadyTime> StoreAccess::allSince() const
{
    SteadyTime latest = m_store.changedAt;
    for (const auto &[front, path] : m_vms) {
        const std::optional<SteadyTime> time = since(front);
        if (!time.has_value()) {
            return std::nullopt;
        }
        latest = std::max(latest, *time);
    }
    return m_store.disruptions > 0 ? std::nullopt : std::optional(latest);
}

void QuotaHistory::apply(const std::vector<OrganisationEntry> &entries, SteadyTime confirmedAt)
{
    for (const OrganisationEntry &entry : entries) {
        std::vector<Quota> &quotas = m_quotas[entry.name];
        const double bound = windowBound(entry);
        if (quotas.empty() || quotas.back().bound != bound) {
            quotas.push_back({bound, confirmedAt, std::nullopt});
        }
    }
}

void QuotaHistory::settle(std::optional<SteadyTime> allSince, SteadyTime now)
{
    if (!allSince.has_value()) {
        return;
    }
    for (auto &[organisation, quotas] : m_quotas) {
        for (Quota &quota : quotas) {
            const SteadyTime settledAt =
                std::max(quota.confirmedAt, *allSince) + ConfigurationApplyTime;
            if (!quota.settledAt.has_value() && settledAt <= now) {
                quota.settledAt = settledAt;
            }
        }
    }
}

double QuotaHistory::allowed(const std::string &organisation, SteadyTime now) const
{
    const auto found = m_quotas.find(organisation);
    if (found == m_quotas.end()) {
        return std::numeric_limits<double>::infinity();
    }
    // An earlier quota may have been in force within the window unless a later one was settled
    // before the window began.
    double bound = 0;
    for (auto quota = found->second.rbegin(); quota != found->second.rend(); ++quota) {
        bound = std::max(bound, quota->bound);
        if (quota->settledAt.has_value() && *quota->settledAt + QuotaWindow <= now) {
            break;
        }
    }
    return bound;
}

std::size_t QuotaHistory::recordRun(const std::string &organisation, SteadyTime sentAt,
                                    SteadyTime now)
{
    std::vector<Run> &runs = m_runs[organisation];
    std::erase_if(runs, [&](const Run &run) { return run.ranAt + QuotaWindow < now; });
    runs.push_back({sentAt, now});
    return static_cast<std::size_t>(std::count_if(
        runs.begin(), runs.end(), [&](const Run &run) { return run.sentAt + QuotaWindow >= now; }));
}

} // namespace boragepath::soak
