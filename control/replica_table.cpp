#include "control/replica_table.h"

#include "core/hash.h"

#include <algorithm>

namespace boragepath {

namespace {

/** A measurement older than this says nothing of a replica's speed. */
constexpr Milliseconds MeasurementAge{5'000};
/** A reported load counts for this long; replicas serve many requests meanwhile. */
constexpr Milliseconds LoadAge{300};
constexpr Milliseconds FirstAvoidance{300};
constexpr Milliseconds LongestAvoidance{3'000};
/** Weight of the newest sample in smoothed times. */
constexpr double NewSampleWeight = 0.3;
/** A replica this much slower than the middle one loses its affinity. */
constexpr double SlowFactor = 1.8;
/** The second choice for a new prompt is taken if the first costs this much more. */
constexpr double BusierBy = 0.1;
/** Requests that may wait at a replica, so that none of its places stays empty. */
constexpr std::int64_t ShortQueue = 1;
/** Part of its slots up to which a replica keeps requests by affinity. */
constexpr double AffinityFill = 0.7;
/** The same for one that has read the prompt: elsewhere it is read again, at the cost of all there.
 */
constexpr double HomeFill = 1.5;
/** Another zone costs two crossings; counted as a part of a request's own service time. */
constexpr double OtherZoneCost = 0.15;

Duration smoothed(Duration old, Duration sample)
{
    if (old == Duration::zero()) {
        return sample;
    }
    const double mixed = static_cast<double>(old.count()) * (1 - NewSampleWeight)
        + static_cast<double>(sample.count()) * NewSampleWeight;
    return Duration(static_cast<Duration::rep>(mixed));
}

Duration avoidanceAfter(int failures)
{
    const int doublings = std::min(failures - 1, 4);
    return std::min<Duration>(FirstAvoidance * (1 << doublings), LongestAvoidance);
}

/** Speed that tells a slow replica: between events for engines, to the answer for others. */
Duration speedOf(const ReplicaState &replica)
{
    return replica.eventInterval != Duration::zero() ? replica.eventInterval : replica.latency;
}

bool measured(const ReplicaState &replica, SteadyTime now)
{
    return speedOf(replica) != Duration::zero() && now < replica.measuredAt + MeasurementAge;
}

Duration middleSpeed(const std::vector<const ReplicaState *> &replicas, SteadyTime now)
{
    std::vector<Duration> speeds;
    for (const ReplicaState *replica : replicas) {
        if (measured(*replica, now)) {
            speeds.push_back(speedOf(*replica));
        }
    }
    if (speeds.empty()) {
        return Duration::zero();
    }
    const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), middle, speeds.end());
    return *middle;
}

double slownessOf(const ReplicaState &replica, Duration middle, SteadyTime now)
{
    if (middle == Duration::zero() || !measured(replica, now)) {
        return 1;
    }
    return std::max(
        1.0, static_cast<double>(speedOf(replica).count()) / static_cast<double>(middle.count()));
}

/** Requests under way at a replica, as far as this VM can tell. */
double occupancyOf(const ReplicaState &replica, SteadyTime now)
{
    const auto own = static_cast<double>(replica.ownRequests);
    if (now >= replica.loadAt + LoadAge) {
        return own;
    }
    const std::int64_t reported =
        replica.load.running + replica.load.waiting + replica.begunSinceLoad;
    return std::max(own, static_cast<double>(reported));
}

double fillOf(const ReplicaState &replica, SteadyTime now)
{
    return occupancyOf(replica, now)
        / static_cast<double>(std::max<std::int64_t>(1, replica.entry.slots));
}

} // namespace

ReplicaTable::ReplicaTable(const Clock &clock)
    : m_clock(clock)
    , m_readAt(clock.now())
{ }

void ReplicaTable::replaceAll(const std::vector<ReplicaEntry> &entries,
                              SteadyTime registryCompleteAt)
{
    std::set<ReplicaId> present;
    for (const ReplicaEntry &entry : entries) {
        present.insert(entry.id);
        put(entry);
    }
    std::vector<ReplicaId> missing;
    for (const auto &[id, replica] : m_replicas) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const ReplicaId &id : missing) {
        remove(id, registryCompleteAt);
    }
}

void ReplicaTable::put(const ReplicaEntry &entry)
{
    ReplicaState &replica = m_replicas[entry.id];
    const bool restarted = replica.entry.startedAtMillis != entry.startedAtMillis
        || replica.entry.endpoint != entry.endpoint;
    if (restarted) {
        const std::int64_t ownRequests = replica.ownRequests;
        replica = {};
        replica.ownRequests = ownRequests;
    }
    replica.entry = entry;
    replica.missingUntil.reset();
}

void ReplicaTable::remove(const ReplicaId &id, SteadyTime registryCompleteAt)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end()) {
        return;
    }
    if (m_clock.now() >= registryCompleteAt) {
        m_replicas.erase(found);
        return;
    }
    found->second.missingUntil = registryCompleteAt;
}

std::vector<ReplicaId> ReplicaTable::expireMissing()
{
    std::vector<ReplicaId> gone;
    for (const auto &[id, replica] : m_replicas) {
        if (replica.missingUntil.has_value() && m_clock.now() >= *replica.missingUntil) {
            gone.push_back(id);
        }
    }
    for (const ReplicaId &id : gone) {
        m_replicas.erase(id);
    }
    return gone;
}

void ReplicaTable::begin(const ReplicaId &id)
{
    const auto found = m_replicas.find(id);
    if (found != m_replicas.end()) {
        found->second.ownRequests += 1;
        found->second.begunSinceLoad += 1;
    }
}

void ReplicaTable::end(const ReplicaId &id, const ReplicaObservation &observation)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end()) {
        return;
    }
    ReplicaState &replica = found->second;
    const SteadyTime now = m_clock.now();
    replica.ownRequests = std::max<std::int64_t>(0, replica.ownRequests - 1);
    if (observation.load.has_value()) {
        replica.load = *observation.load;
        replica.loadAt = now;
        replica.begunSinceLoad = 0;
    }
    if (observation.latency.has_value()) {
        replica.latency = smoothed(replica.latency, *observation.latency);
        replica.measuredAt = now;
    }
    if (observation.eventInterval.has_value()) {
        replica.eventInterval = smoothed(replica.eventInterval, *observation.eventInterval);
        replica.measuredAt = now;
    }
    if (observation.outcome == ReplicaObservation::Outcome::Served) {
        replica.failures = 0;
        return;
    }
    if (observation.outcome == ReplicaObservation::Outcome::Declined && !observation.wrongReplica) {
        // It is full, not broken: the load that it reported keeps work away.
        replica.load.waiting = std::max(replica.load.waiting, replica.entry.slots);
        replica.loadAt = now;
        return;
    }
    replica.failures += 1;
    replica.avoidedUntil = now + avoidanceAfter(replica.failures);
}

const ReplicaState *ReplicaTable::find(const ReplicaId &id) const
{
    const auto found = m_replicas.find(id);
    return found == m_replicas.end() ? nullptr : &found->second;
}

std::vector<const ReplicaState *> ReplicaTable::usable(const PoolName &service) const
{
    std::vector<const ReplicaState *> result;
    for (const auto &[id, replica] : m_replicas) {
        if (replica.entry.service == service && !replica.entry.draining) {
            result.push_back(&replica);
        }
    }
    return result;
}

bool isFull(const ReplicaState &replica, SteadyTime now)
{
    return occupancyOf(replica, now) >= static_cast<double>(replica.entry.slots + ShortQueue);
}

PlacementInputs placementInputs(const ReplicaState &replica, SteadyTime now)
{
    PlacementInputs inputs;
    inputs.ownRequests = replica.ownRequests;
    inputs.reportedRequests = replica.load.running + replica.load.waiting;
    inputs.reportAge = now - replica.loadAt;
    return inputs;
}

namespace {

/** What a replica costs a request: its fill and its slowness. */
double costOf(const ReplicaState &replica, Duration middle, SteadyTime now)
{
    return (1 + fillOf(replica, now)) * slownessOf(replica, middle, now);
}

/**
 * The replica for a prompt: the one that has read it, else one of the two that all
 * VMs think of first for its key. Null if these have no room.
 */
const ReplicaState *promptHome(const std::vector<const ReplicaState *> &healthy,
                               const PlacementRequest &request, Duration middle, SteadyTime now)
{
    const ReplicaState *first = nullptr;
    const ReplicaState *second = nullptr;
    std::uint64_t firstWeight = 0;
    std::uint64_t secondWeight = 0;
    for (const ReplicaState *replica : healthy) {
        if (request.affinityKey.empty() || slownessOf(*replica, middle, now) >= SlowFactor) {
            continue;
        }
        const double fill = fillOf(*replica, now);
        if (replica->entry.id == request.promptReplica && fill < HomeFill) {
            return replica;
        }
        if (fill >= AffinityFill) {
            continue;
        }
        const std::uint64_t weight =
            rendezvousWeight(request.affinityKey, replica->entry.id.value());
        if (first == nullptr || weight > firstWeight) {
            second = first;
            secondWeight = firstWeight;
            first = replica;
            firstWeight = weight;
        } else if (second == nullptr || weight > secondWeight) {
            second = replica;
            secondWeight = weight;
        }
    }
    const bool secondIsBetter =
        second != nullptr && costOf(*second, middle, now) + BusierBy < costOf(*first, middle, now);
    return secondIsBetter ? second : first;
}

} // namespace

const ReplicaState *choosePlacement(const ReplicaTable &table, const PlacementRequest &request,
                                    SteadyTime now)
{
    std::vector<const ReplicaState *> candidates = table.usable(request.service);
    std::erase_if(candidates, [&](const ReplicaState *replica) {
        return request.tried.contains(replica->entry.id)
            || replica->ownRequests >= request.maxOwnRequests;
    });
    if (candidates.empty()) {
        return nullptr;
    }
    const Duration middle = middleSpeed(candidates, now);
    std::vector<const ReplicaState *> healthy = candidates;
    std::erase_if(healthy,
                  [&](const ReplicaState *replica) { return now < replica->avoidedUntil; });
    // Where every replica has failed lately, one that may work beats a refusal.
    if (healthy.empty()) {
        return *std::min_element(candidates.begin(), candidates.end(),
                                 [](const ReplicaState *left, const ReplicaState *right) {
                                     return left->avoidedUntil < right->avoidedUntil;
                                 });
    }
    if (const ReplicaState *home = promptHome(healthy, request, middle, now)) {
        return home;
    }
    const auto costHere = [&](const ReplicaState *replica) {
        const double zoneCost = replica->entry.zone == request.zone ? 0 : OtherZoneCost;
        return costOf(*replica, middle, now) + zoneCost;
    };
    return *std::min_element(healthy.begin(), healthy.end(),
                             [&](const ReplicaState *left, const ReplicaState *right) {
                                 return costHere(left) < costHere(right);
                             });
}

} // namespace boragepath
