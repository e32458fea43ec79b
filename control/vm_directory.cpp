#include "control/vm_directory.h"

#include "core/hash.h"

#include <algorithm>

namespace boragepath {

namespace {

/** Lasts four to six rounds of gossip, so that no VM is considered dead after one lost datagram. */
constexpr Milliseconds LivenessTimeout{1'800};
/** A VM that has been silent for this long is forgotten. */
constexpr Milliseconds ForgetTimeout{20'000};
/** Number of live VMs that get the gossip of one round. */
constexpr std::size_t GossipFanout = 3;
/** Callers of a zone are spread over at least this many VMs. */
constexpr std::size_t MinVmsInZone = 2;
/** Assumed until the rows of the VMs have been read; more than most deployments have. */
constexpr std::size_t AssumedVmCount = 16;
/** Callers do not benefit from more addresses than this. */
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
    silent.lastHeard = m_clock.now() - LivenessTimeout;
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
    if (known == m_others.end() && heardAt + ForgetTimeout < m_clock.now()) {
        return;
    }
    if (known != m_others.end() && news.incarnation < known->second.incarnation) {
        return;
    }
    VmEntry &entry = m_others[vm];
    const bool sameIncarnation = entry.incarnation == news.incarnation;
    const bool leaving = news.leaving || (sameIncarnation && entry.leaving);
    // An incarnation that has started stays started; reports may arrive out of order.
    const bool starting = news.starting && (!sameIncarnation || entry.starting);
    const SteadyTime lastHeard = sameIncarnation ? std::max(entry.lastHeard, heardAt) : heardAt;
    const bool storeAway =
        sameIncarnation && heardAt < entry.lastHeard ? entry.storeAway : news.storeAway;
    entry = {vm,      *front,   *address,  ZoneId(news.zone), news.incarnation,
             leaving, starting, storeAway, lastHeard};
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
        if (now < entry.lastHeard + LivenessTimeout) {
            add(entry, now - entry.lastHeard);
        }
    }
    return result;
}

std::vector<Endpoint> VmDirectory::gossipTargets()
{
    const SteadyTime now = m_clock.now();
    std::erase_if(m_others,
                  [&](const auto &item) { return now >= item.second.lastHeard + ForgetTimeout; });
    std::vector<Endpoint> live;
    std::vector<Endpoint> silent;
    for (const auto &[vm, entry] : m_others) {
        (isLive(entry) ? live : silent).push_back(entry.peers);
    }
    std::shuffle(live.begin(), live.end(), m_random);
    std::shuffle(silent.begin(), silent.end(), m_random);
    live.resize(std::min(live.size(), GossipFanout));
    // A silent VM may have restarted, or may be reachable from this VM although not from others.
    if (!silent.empty()) {
        live.push_back(silent.front());
    }
    return live;
}

bool VmDirectory::isLive(const VmEntry &entry) const
{
    return m_clock.now() < entry.lastHeard + LivenessTimeout;
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
    std::vector<Endpoint> &chosen = inZone.size() >= MinVmsInZone ? inZone : all;
    chosen.resize(std::min(chosen.size(), MaxAddresses));
    return chosen;
}

std::optional<Endpoint> VmDirectory::coordinatorFor(const std::string &item) const
{
    std::optional<Endpoint> best;
    // A VM that is leaving coordinates work only if no other live VM can take it.
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

std::size_t VmDirectory::vmCountForLimits() const
{
    const std::size_t known = m_others.size() + 1;
    return m_rowsRead ? known : std::max(known, AssumedVmCount);
}

} // namespace boragepath
