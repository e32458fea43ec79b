#include "control/vm_directory.h"

#include "core/hash.h"

#include <algorithm>

namespace boragepath {

namespace {

/** Four to six rounds of news: a lost datagram takes nobody out. */
constexpr Milliseconds SilenceLimit{1'800};
/** A VM that has been silent for this long is no longer told of. */
constexpr Milliseconds ForgetLimit{20'000};
/** VMs told in one round. */
constexpr std::size_t Fanout = 3;
/** Callers of a zone spread over at least this many VMs. */
constexpr std::size_t EnoughInZone = 2;
/** Assumed before the rows of VMs are read: more than there are on most deployments. */
constexpr std::size_t GuessedVms = 16;
/** More addresses than this are of no use to callers. */
constexpr std::size_t MaxAddresses = 64;

} // namespace

VmDirectory::VmDirectory(const Clock &clock, VmEntry self, std::uint64_t seed)
    : m_clock(clock)
    , m_self(std::move(self))
    , m_random(seed)
{ }

void VmDirectory::addFromStore(const VmEntry &entry)
{
    if (entry.vm == m_self.vm) {
        return;
    }
    const auto known = m_others.find(entry.vm);
    if (known != m_others.end() && known->second.incarnation >= entry.incarnation) {
        return;
    }
    VmEntry silent = entry;
    silent.lastHeard = m_clock.now() - SilenceLimit;
    m_others[entry.vm] = silent;
}

void VmDirectory::receive(const peers::VmNews &news)
{
    const VmId vm(news.vm);
    const auto front = parseEndpoint(news.front);
    const auto address = parseEndpoint(news.peers);
    if (vm == m_self.vm || !front.ok() || !address.ok()) {
        return;
    }
    const SteadyTime heardAt = m_clock.now() - Milliseconds(std::max(0, news.ageMillis));
    const auto known = m_others.find(vm);
    if (known == m_others.end() && heardAt + ForgetLimit < m_clock.now()) {
        return;
    }
    if (known != m_others.end() && news.incarnation < known->second.incarnation) {
        return;
    }
    VmEntry &entry = m_others[vm];
    const bool sameIncarnation = entry.incarnation == news.incarnation;
    const bool leaving = news.leaving || (sameIncarnation && entry.leaving);
    // Once started, always started; news may arrive out of order.
    const bool starting = news.starting && (!sameIncarnation || entry.starting);
    const SteadyTime newest = sameIncarnation ? std::max(entry.lastHeard, heardAt) : heardAt;
    const bool storeAway =
        sameIncarnation && heardAt < entry.lastHeard ? entry.storeAway : news.storeAway;
    entry = {vm,       *front,    *address, ZoneId(news.zone), news.incarnation, leaving,
             starting, storeAway, newest};
}

std::vector<peers::VmNews> VmDirectory::news() const
{
    std::vector<peers::VmNews> result;
    const auto add = [&](const VmEntry &entry, Duration age) {
        peers::VmNews item;
        item.vm = entry.vm.value();
        item.front = entry.front.text();
        item.peers = entry.peers.text();
        item.zone = entry.zone.value();
        item.incarnation = entry.incarnation;
        item.ageMillis = static_cast<std::int32_t>(toMillis(age));
        item.leaving = entry.leaving;
        item.starting = entry.starting;
        item.storeAway = entry.storeAway;
        result.push_back(std::move(item));
    };
    add(m_self, Duration::zero());
    const SteadyTime now = m_clock.now();
    for (const auto &[vm, entry] : m_others) {
        if (now < entry.lastHeard + SilenceLimit) {
            add(entry, now - entry.lastHeard);
        }
    }
    return result;
}

std::vector<Endpoint> VmDirectory::gossipTargets()
{
    const SteadyTime now = m_clock.now();
    std::erase_if(m_others,
                  [&](const auto &item) { return now >= item.second.lastHeard + ForgetLimit; });
    std::vector<Endpoint> live;
    std::vector<Endpoint> silent;
    for (const auto &[vm, entry] : m_others) {
        (isLive(entry) ? live : silent).push_back(entry.peers);
    }
    std::shuffle(live.begin(), live.end(), m_random);
    std::shuffle(silent.begin(), silent.end(), m_random);
    live.resize(std::min(live.size(), Fanout));
    // One that is silent may be back, or be cut off from others only.
    if (!silent.empty()) {
        live.push_back(silent.front());
    }
    return live;
}

bool VmDirectory::isLive(const VmEntry &entry) const
{
    return m_clock.now() < entry.lastHeard + SilenceLimit;
}

std::vector<Endpoint> VmDirectory::addressesFor(const ZoneId &zone) const
{
    std::vector<Endpoint> inZone;
    std::vector<Endpoint> all;
    const auto add = [&](const VmEntry &entry) {
        if (entry.leaving || entry.starting) {
            return;
        }
        all.push_back(entry.front);
        if (entry.zone == zone) {
            inZone.push_back(entry.front);
        }
    };
    add(m_self);
    for (const auto &[vm, entry] : m_others) {
        if (isLive(entry)) {
            add(entry);
        }
    }
    std::vector<Endpoint> &chosen = inZone.size() >= EnoughInZone ? inZone : all;
    chosen.resize(std::min(chosen.size(), MaxAddresses));
    return chosen;
}

std::optional<Endpoint> VmDirectory::coordinatorFor(const std::string &item) const
{
    std::optional<Endpoint> best;
    // A VM that is leaving takes no further work on, but does its own.
    std::uint64_t bestWeight = m_self.leaving ? 0 : rendezvousWeight(item, m_self.vm.value());
    for (const auto &[vm, entry] : m_others) {
        const std::uint64_t weight = rendezvousWeight(item, vm.value());
        if (isLive(entry) && !entry.leaving && weight > bestWeight) {
            best = entry.peers;
            bestWeight = weight;
        }
    }
    return best;
}

std::optional<Endpoint> VmDirectory::randomVmWithStore()
{
    std::vector<Endpoint> candidates;
    for (const auto &[vm, entry] : m_others) {
        if (isLive(entry) && !entry.storeAway && !entry.leaving) {
            candidates.push_back(entry.peers);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[m_random() % candidates.size()];
}

bool VmDirectory::isLiveAt(const Endpoint &peers) const
{
    return std::any_of(m_others.begin(), m_others.end(), [&](const auto &item) {
        return item.second.peers == peers && isLive(item.second);
    });
}

bool VmDirectory::isLive(const VmId &vm) const
{
    const auto found = m_others.find(vm);
    return found != m_others.end() && isLive(found->second);
}

std::size_t VmDirectory::sharingCount() const
{
    const std::size_t known = m_others.size() + 1;
    return m_rowsRead ? known : std::max(known, GuessedVms);
}

} // namespace boragepath
