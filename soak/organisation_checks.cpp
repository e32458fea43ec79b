// The checks of the invariant checker that concern organisations, their keys and quotas.

#include "soak/invariant_checker.h"

#include "standin/platform_replica.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace boragepath::soak {

namespace {

constexpr unsigned StatusNone = 0;
constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusNotFound = 404;

} // namespace

void InvariantChecker::recordConfiguration(const std::vector<OrganisationEntry> &entries)
{
    m_hasOrganisations = m_hasOrganisations || !entries.empty();
    m_quotas.settle(m_storeAccess.allSince(), m_clock.now());
    m_keys.apply(entries, m_clock.now());
    m_quotas.apply(entries, m_clock.now());
}

void InvariantChecker::recordReceived(const HttpRequest &request, const std::string &replica)
{
    const bool containsKey =
        std::any_of(request.fields.begin(), request.fields.end(), [](const HttpField &field) {
            return absl::StrContains(field.name, KeyMark)
                || absl::StrContains(field.value, KeyMark);
        });
    if (callerIdentityOf(request).hasCredential || containsKey) {
        addViolation("CREDENTIAL", request.headerValue("Attempt-Id"),
                     absl::StrCat("replica ", replica, " received its key"));
    }
}

void InvariantChecker::checkHasNoKey(const std::string &place, const std::string &text)
{
    if (absl::StrContains(text, KeyMark)) {
        m_violations.push_back(absl::StrCat("LEAK ", place, " contains an API key"));
    }
}

bool InvariantChecker::mustKnowKey(const Record &record) const
{
    const SteadyTime time = record.sentAt - ConfigurationApplyTime;
    const std::optional<SteadyTime> reachableSince = m_storeAccess.since(record.front);
    return m_keys.isHeldSince(record.attempt.key, time) && reachableSince.has_value()
        && *reachableSince <= time;
}

bool InvariantChecker::continuesForeignTurn(const Attempt &attempt) const
{
    const auto previous = m_records.find(attempt.previousTurn);
    if (!m_hasOrganisations || previous == m_records.end()) {
        return false;
    }
    const std::set<std::string> own = m_keys.everHeldBy(attempt.key);
    const std::set<std::string> others = m_keys.everHeldBy(previous->second.attempt.key);
    return std::none_of(own.begin(), own.end(),
                        [&](const std::string &name) { return others.contains(name); });
}

void InvariantChecker::checkKey(const std::string &id, const Record &record)
{
    const std::string &key = record.attempt.key;
    if (usesPublicRoute(record.attempt.kind)
        || !m_keys.organisationsOf(key, record.sentAt).empty()) {
        return;
    }
    if (m_keys.wasConfigured(key)) {
        addViolation("REVOKED", id, "ran although its key had been removed before it was sent");
    } else {
        addViolation("UNKNOWN-KEY", id,
                     key.empty() ? "ran without a key" : "ran with a key that never existed");
    }
}

void InvariantChecker::checkTenant(const std::string &id, const Record &record,
                                   const HttpRequest &request)
{
    const std::vector<std::string> tenants = callerIdentityOf(request).tenants;
    const std::set<std::string> allowed = m_keys.organisationsOf(record.attempt.key, record.sentAt);
    const bool mayLackTenant = usesPublicRoute(record.attempt.kind) && !mustKnowKey(record);
    const bool correct =
        tenants.empty() ? mayLackTenant : tenants.size() == 1 && allowed.contains(tenants.front());
    // Requests that may not run at all are reported by checkKey().
    if (!correct && (!tenants.empty() || !allowed.empty())) {
        addViolation("TENANT", id,
                     absl::StrCat("ran for \"", absl::StrJoin(tenants, ", "), "\", not for \"",
                                  absl::StrJoin(allowed, " or "), "\""));
    }
    m_counts[tenants.empty() ? "run without an organisation" : "run for organisations"] += 1;
}

void InvariantChecker::checkQuota(const std::string &id, const Record &record)
{
    const SteadyTime now = m_clock.now();
    m_quotas.settle(m_storeAccess.allSince(), now);
    for (const std::string &name : m_keys.organisationsOf(record.attempt.key, record.sentAt)) {
        const std::size_t requests = m_quotas.recordRun(name, record.sentAt, now);
        const double allowed = m_quotas.allowed(name, now);
        if (static_cast<double>(requests) > allowed) {
            addViolation("QUOTA", id,
                         absl::StrCat(requests, " requests of ", name, " ran in ",
                                      QuotaWindow.count(), " s, allowed ", allowed));
        }
    }
}

void InvariantChecker::checkOrganisationOfRun(const std::string &id, const Record &record,
                                              const HttpRequest &request)
{
    if (!m_hasOrganisations) {
        return;
    }
    checkKey(id, record);
    checkTenant(id, record, request);
    // A VM that need not know the key yet serves a public route without an organisation.
    const bool counts =
        !usesPublicRoute(record.attempt.kind) || !callerIdentityOf(request).tenants.empty();
    if (record.runs == 1 && counts) {
        checkQuota(id, record);
    }
    if (continuesForeignTurn(record.attempt)) {
        addViolation("FOREIGN", id, "ran although it continues a turn of another organisation");
    }
}

void InvariantChecker::checkOrganisationOfResult(const std::string &id, const Record &record)
{
    const bool needsNoKey = usesPublicRoute(record.attempt.kind) && record.attempt.key.empty();
    if (record.status == StatusUnauthorized && (needsNoKey || mustKnowKey(record))) {
        addViolation("UNAUTHORIZED", id, "was answered with status 401 although it was proper");
    }
    const bool mayAnswerForeignTurn = record.status == StatusNone || record.status == StatusNotFound
        || meansNotRun(record.status);
    if (continuesForeignTurn(record.attempt)) {
        m_counts[absl::StrCat("turns of others: answered ", record.status)] += 1;
        if (!mayAnswerForeignTurn) {
            addViolation("FOREIGN", id,
                         absl::StrCat("was answered with status ", record.status,
                                      " although it continues a turn of another organisation"));
        }
    }
}

} // namespace boragepath::soak
