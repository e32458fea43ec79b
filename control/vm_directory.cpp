#include "control/vm_directory.h"

#include "core/hash.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>

namespace boragepath {

namespace {

/** Lasts at least four rounds of gossip, so that no VM is considered dead after one lost datagram.
 */
constexpr Milliseconds LivenessTimeout{1'800};
/** A VM that has been silent for this long is forgotten. */
constexpr Milliseconds ForgetTimeout{20'000};
/**
 * Number of live VMs that get the gossip of one round. News of a VM must reach hundreds of
 * others well within the liveness timeout, also when some datagrams are lost.
 */
constexpr std::size_t GossipFanout = 4;
/** How many of them are in other zones, to which bytes cost more. */
constexpr std::size_t CrossZoneFanout = 2;
/** VMs that one datagram describes in full, in turn. */
constexpr std::size_t DescriptionsPerDatagram = 4;
/** VMs that one answer describes in full. */
constexpr std::size_t MaxDescriptionsPerAnswer = 64;
/** A fingerprint is asked for again after this time, since the question or the answer may have
 * been lost. */
constexpr Milliseconds AskAgainInterval{400};
/** Callers of a zone are spread over at least this many VMs. */
constexpr std::size_t MinVmsInZone = 2;
/** Assumed until the rows of the VMs have been read; more than most deployments have. */
constexpr std::size_t AssumedVmCount = 16;
/** Callers do not benefit from more addresses than this. */
constexpr std::size_t MaxAddresses = 64;

struct IncarnationParts
{
    VmId vm;
    std::int64_t startedAtMillis = 0;
};

IncarnationParts parseIncarnation(const std::string &name)
{
    IncarnationParts parts;
    const std::size_t slash = name.rfind('/');
    if (slash == std::string::npos
        || !absl::SimpleAtoi(name.substr(slash + 1), &parts.startedAtMillis)) {
        return {};
    }
    parts.vm = VmId(name.substr(0, slash));
    return parts;
}

/** State of a known incarnation of a VM, as somebody reported it. */
struct ReportedVmState
{
    SteadyTime heardAt;
    bool leaving = false;
    bool starting = false;
    bool storeAway = false;
};

/** Updates a VM by a report about the same incarnation; reports may arrive out of order. */
void mergeState(VmEntry &entry, const ReportedVmState &report)
{
    // An incarnation that leaves does not come back, and one that has started stays started.
    entry.leaving = entry.leaving || report.leaving;
    entry.starting = entry.starting && report.starting;
    if (report.heardAt >= entry.lastHeard) {
        entry.storeAway = report.storeAway;
        entry.lastHeard = report.heardAt;
    }
}

peers::VmHeartbeat heartbeatOf(const VmEntry &entry, SteadyTime now)
{
    peers::VmHeartbeat heartbeat;
    heartbeat.fingerprint = entry.fingerprint;
    heartbeat.ageMillis = static_cast<std::int32_t>(toMillis(now - entry.lastHeard));
    if (entry.leaving) {
        heartbeat.__set_leaving(true);
    }
    if (entry.starting) {
        heartbeat.__set_starting(true);
    }
    if (entry.storeAway) {
        heartbeat.__set_storeAway(true);
    }
    return heartbeat;
}

/** Reduces @p items to a random choice of @p count of them. */
template <typename Item>
void sample(std::vector<Item> &items, std::size_t count, std::mt19937_64 &random)
{
    std::shuffle(items.begin(), items.end(), random);
    items.resize(std::min(items.size(), count));
}

std::optional<Endpoint> randomItem(const std::vector<Endpoint> &items, std::mt19937_64 &random)
{
    if (items.empty()) {
        return std::nullopt;
    }
    return items[random() % items.size()];
}

} // namespace

std::string incarnationName(const VmEntry &entry)
{
    return absl::StrCat(entry.vm.value(), "/", entry.incarnation);
}

VmDirectory::VmDirectory(const Clock &clock, VmEntry self, std::uint64_t seed)
    : m_clock(clock)
    , m_self(std::move(self))
    , m_random(seed)
{
    m_self.fingerprint = fingerprintOf(incarnationName(m_self));
}

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
    replace(silent);
}

void VmDirectory::replace(VmEntry entry)
{
    VmEntry &known = m_others[entry.vm];
    m_byFingerprint.erase(known.fingerprint);
    entry.fingerprint = fingerprintOf(incarnationName(entry));
    known = std::move(entry);
    m_byFingerprint[known.fingerprint] = &known;
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
    if (known != m_others.end() && news.incarnation == known->second.incarnation) {
        mergeState(known->second, {heardAt, news.leaving, news.starting, news.storeAway});
        return;
    }
    replace({vm, *front, *address, ZoneId(news.zone), news.incarnation, news.leaving, news.starting,
             news.storeAway, heardAt});
}

std::vector<std::int64_t> VmDirectory::receive(const std::vector<peers::VmHeartbeat> &heartbeats)
{
    const SteadyTime now = m_clock.now();
    std::vector<std::int64_t> unknown;
    for (const peers::VmHeartbeat &heartbeat : heartbeats) {
        if (heartbeat.fingerprint == m_self.fingerprint) {
            continue;
        }
        const auto known = m_byFingerprint.find(heartbeat.fingerprint);
        if (known != m_byFingerprint.end()) {
            const SteadyTime heardAt = now - Milliseconds(std::max(0, heartbeat.ageMillis));
            mergeState(*known->second,
                       {heardAt, heartbeat.leaving, heartbeat.starting, heartbeat.storeAway});
            continue;
        }
        const auto asked = m_askedAt.find(heartbeat.fingerprint);
        const bool askNow = asked == m_askedAt.end() || now >= asked->second + AskAgainInterval;
        if (askNow && unknown.size() < MaxDescriptionsPerAnswer) {
            m_askedAt[heartbeat.fingerprint] = now;
            unknown.push_back(heartbeat.fingerprint);
        }
    }
    return unknown;
}

peers::VmNews VmDirectory::newsOf(const VmEntry &entry) const
{
    const bool isSelf = entry.vm == m_self.vm;
    peers::VmNews news;
    news.vm = entry.vm.value();
    news.front = entry.front.text();
    news.peers = entry.peers.text();
    news.zone = entry.zone.value();
    news.incarnation = entry.incarnation;
    news.ageMillis =
        isSelf ? 0 : static_cast<std::int32_t>(toMillis(m_clock.now() - entry.lastHeard));
    news.leaving = entry.leaving;
    news.starting = entry.starting;
    news.storeAway = entry.storeAway;
    return news;
}

peers::VmNews VmDirectory::ownNews() const
{
    return newsOf(m_self);
}

std::vector<peers::VmNews> VmDirectory::newsOf(const std::vector<std::int64_t> &fingerprints) const
{
    std::vector<peers::VmNews> result;
    for (const std::int64_t fingerprint : fingerprints) {
        const auto known = m_byFingerprint.find(fingerprint);
        if (known != m_byFingerprint.end() && isLive(*known->second)
            && result.size() < MaxDescriptionsPerAnswer) {
            result.push_back(newsOf(*known->second));
        }
    }
    return result;
}

VmGossipContent VmDirectory::gossip()
{
    VmGossipContent content;
    content.news.push_back(ownNews());
    std::vector<const VmEntry *> live;
    for (const auto &[vm, entry] : m_others) {
        if (isLive(entry)) {
            live.push_back(&entry);
        }
    }
    // Start after the VM that was described last, so that all are described in turn.
    const auto next = std::find_if(live.begin(), live.end(), [this](const VmEntry *entry) {
        return m_lastDescribed < entry->vm;
    });
    std::rotate(live.begin(), next, live.end());
    for (const VmEntry *entry : live) {
        if (content.news.size() <= DescriptionsPerDatagram) {
            content.news.push_back(newsOf(*entry));
            m_lastDescribed = entry->vm;
        } else {
            content.heartbeats.push_back(heartbeatOf(*entry, m_clock.now()));
        }
    }
    return content;
}

GossipTargets VmDirectory::gossipTargets()
{
    const SteadyTime now = m_clock.now();
    for (auto item = m_others.begin(); item != m_others.end();) {
        const VmEntry &entry = item->second;
        if (now < entry.lastHeard + ForgetTimeout) {
            ++item;
            continue;
        }
        m_byFingerprint.erase(entry.fingerprint);
        item = m_others.erase(item);
    }
    std::erase_if(m_askedAt,
                  [&](const auto &item) { return now >= item.second + AskAgainInterval; });

    std::vector<Endpoint> near;
    std::vector<Endpoint> far;
    GossipTargets targets;
    for (const auto &[vm, entry] : m_others) {
        if (!isLive(entry)) {
            targets.silent.push_back(entry.peers);
        } else if (entry.zone == m_self.zone) {
            near.push_back(entry.peers);
        } else {
            far.push_back(entry.peers);
        }
    }
    sample(near, GossipFanout - std::min(far.size(), CrossZoneFanout), m_random);
    sample(far, GossipFanout - near.size(), m_random);
    targets.live = std::move(near);
    targets.live.insert(targets.live.end(), far.begin(), far.end());
    // While few VMs are known to be live, as after a start, more of the silent ones are tried.
    sample(targets.silent, 1 + GossipFanout - targets.live.size(), m_random);
    return targets;
}

bool VmDirectory::isLive(const VmEntry &entry) const
{
    return m_clock.now() < entry.lastHeard + LivenessTimeout;
}

std::vector<Endpoint> VmDirectory::addressesFor(const ZoneId &zone)
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
    sample(chosen, MaxAddresses, m_random);
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

std::vector<std::string> VmDirectory::liveIncarnations() const
{
    std::vector<std::string> names;
    if (!m_self.leaving) {
        names.push_back(incarnationName(m_self));
    }
    for (const auto &[vm, entry] : m_others) {
        if (isLive(entry) && !entry.leaving) {
            names.push_back(incarnationName(entry));
        }
    }
    return names;
}

std::vector<std::string> VmDirectory::otherIncarnations(bool ofOwnZone) const
{
    std::vector<std::string> names;
    for (const auto &[vm, entry] : m_others) {
        if (isLive(entry) && !entry.leaving && (entry.zone == m_self.zone) == ofOwnZone) {
            names.push_back(incarnationName(entry));
        }
    }
    return names;
}

std::optional<Endpoint> VmDirectory::findLive(const std::string &incarnation) const
{
    const auto found = m_others.find(parseIncarnation(incarnation).vm);
    const bool isFound = found != m_others.end() && isLive(found->second)
        && incarnationName(found->second) == incarnation;
    return isFound ? std::optional(found->second.peers) : std::nullopt;
}

std::optional<Endpoint> VmDirectory::findSuccessor(const std::string &incarnation) const
{
    const auto found = m_others.find(parseIncarnation(incarnation).vm);
    const bool isFound =
        found != m_others.end() && isReplaced(incarnation) && isLive(found->second);
    return isFound ? std::optional(found->second.peers) : std::nullopt;
}

bool VmDirectory::isReplaced(const std::string &incarnation) const
{
    const IncarnationParts parts = parseIncarnation(incarnation);
    if (parts.vm == m_self.vm) {
        return parts.startedAtMillis < m_self.incarnation;
    }
    const auto found = m_others.find(parts.vm);
    return found != m_others.end() && parts.startedAtMillis < found->second.incarnation;
}

std::vector<Endpoint> VmDirectory::rankedFor(const std::string &item, std::size_t count) const
{
    std::multimap<std::uint64_t, Endpoint, std::greater<>> byWeight;
    for (const auto &[vm, entry] : m_others) {
        if (isLive(entry) && !entry.leaving) {
            byWeight.emplace(rendezvousWeight(item, vm.value()), entry.peers);
        }
    }
    std::vector<Endpoint> ranked;
    for (const auto &[weight, endpoint] : byWeight) {
        if (ranked.size() == count) {
            break;
        }
        ranked.push_back(endpoint);
    }
    return ranked;
}

std::optional<Endpoint> VmDirectory::randomLiveVm()
{
    std::vector<Endpoint> live;
    for (const auto &[vm, entry] : m_others) {
        if (isLive(entry)) {
            live.push_back(entry.peers);
        }
    }
    return randomItem(live, m_random);
}

std::optional<Endpoint> VmDirectory::randomVmWithStore()
{
    std::vector<Endpoint> candidates;
    for (const auto &[vm, entry] : m_others) {
        if (isLive(entry) && !entry.storeAway && !entry.leaving) {
            candidates.push_back(entry.peers);
        }
    }
    return randomItem(candidates, m_random);
}

std::string VmDirectory::incarnationAt(const Endpoint &peers) const
{
    const auto found = std::find_if(m_others.begin(), m_others.end(),
                                    [&](const auto &item) { return item.second.peers == peers; });
    return found == m_others.end() ? std::string() : incarnationName(found->second);
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

std::size_t VmDirectory::liveCount() const
{
    const auto others = std::count_if(m_others.begin(), m_others.end(),
                                      [this](const auto &item) { return isLive(item.second); });
    return static_cast<std::size_t>(others) + 1;
}

double VmDirectory::shareInSight() const
{
    return static_cast<double>(liveCount()) / static_cast<double>(vmCountForLimits());
}

std::size_t VmDirectory::vmCountForLimits() const
{
    const std::size_t known = m_others.size() + 1;
    return m_rowsRead ? known : std::max(known, AssumedVmCount);
}

} // namespace boragepath
