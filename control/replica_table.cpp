#include "control/replica_table.h"

#include "control/placement/paced_placement.h"
#include "core/hash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace boragepath {

namespace {

/** Older measurements of a replica's response time are ignored. */
constexpr Milliseconds MaxMeasurementAge{5'000};
/** A replica serves many requests in this time, so that an older load report counts for less. */
constexpr Milliseconds LoadReportLifetime{300};
constexpr Milliseconds LoadReportHalfLife{400};
constexpr Milliseconds MaxLoadReportAge{3'000};
/** Time for which one failure excludes a replica; doubles with each further one in a row. */
constexpr Milliseconds FirstExclusion{300};
constexpr Milliseconds LongestExclusion{3'000};
/** A replica that has declined a request counts as full for this long. */
constexpr Milliseconds DeclinedPause{300};
/** Weight of the newest sample in smoothed times. */
constexpr double NewSampleWeight = 0.3;
/** Affinity is ignored for a replica that is slower than the median by this factor. */
constexpr double MaxAffinitySlowdown = 1.8;
/** The second choice for a new prompt is taken if its cost is lower by more than this. */
constexpr double SecondChoiceMargin = 0.1;
/** Requests that may wait at a replica, so that a slot that becomes free is used at once. */
constexpr std::int64_t MaxReplicaQueue = 1;
/** Up to this utilization of its slots, a replica is chosen by affinity. */
constexpr double MaxAffinityUtilization = 0.7;
/** The same limit for a replica that has the prompt cached. It is higher because any other replica
 * would have to process the prompt again, which slows down all requests there. */
constexpr double MaxPromptUtilization = 1.5;
/** Where all replicas are as busy, one that has the prompt cached is chosen up to this much more
 * utilization than that of the least busy one. */
constexpr double PromptAdvantage = 0.5;
/** The same limit for a replica that has handled the object: it saves a part of the work, but not
 * as much time as a request waits for a slot. */
constexpr double MaxObjectUtilization = 1.0;
/** Cost of a replica in another zone, as a share of the request's own service time: the network
 * between the zones is crossed twice. */
constexpr double CrossZoneCost = 0.15;
/** Cost of a replica that is avoided, in utilization that another one may have more. */
constexpr double AvoidanceCost = 0.25;
/** A replica that has ended is registered as another incarnation when it is back. */
constexpr Milliseconds EndedReplicaTime{10'000};
/** Longer than a caller goes on with a stream, all its tries included. */
constexpr Milliseconds MaxStreamLifetime{15'000};
/** After a longer time between two reads, replicas may have come and gone unseen. */
constexpr Milliseconds MaxRegistryReadGap{2'000};
/** Leaving replicas that are remembered; more than leave while one of them still serves. */
constexpr std::size_t MaxLeavingReplicas = 1'000;
/** Work to process a prompt again, and to load an object again, as a share of a typical request. */
constexpr double PromptWork = 0.5;
constexpr double ObjectWork = 0.2;

Duration smoothed(Duration old, Duration sample)
{
    if (old == Duration::zero()) {
        return sample;
    }
    const double mixed = static_cast<double>(old.count()) * (1 - NewSampleWeight)
        + static_cast<double>(sample.count()) * NewSampleWeight;
    return Duration(static_cast<Duration::rep>(mixed));
}

Duration exclusionAfter(int failures)
{
    const int doublings = std::min(failures - 1, 4);
    return std::min<Duration>(FirstExclusion * (1 << doublings), LongestExclusion);
}

/** The time by which replicas are compared: between the events of a stream for engines, to the
 * answer for other services. */
Duration responseTimeOf(const ReplicaState &replica)
{
    return replica.eventInterval != Duration::zero() ? replica.eventInterval : replica.latency;
}

bool hasRecentMeasurement(const ReplicaState &replica, SteadyTime now)
{
    return responseTimeOf(replica) != Duration::zero()
        && now < replica.measuredAt + MaxMeasurementAge;
}

/** Of the replicas that are compared: idle ones with a limit would make all others look slow. */
Duration medianResponseTime(const std::vector<const ReplicaState *> &replicas,
                            const PlacementRequest &request, SteadyTime now)
{
    std::vector<Duration> responseTimes;
    for (const ReplicaState *replica : replicas) {
        if (hasRecentMeasurement(*replica, now)
            && !request.limitedReplicas.contains(replica->entry.id)) {
            responseTimes.push_back(responseTimeOf(*replica));
        }
    }
    if (responseTimes.empty()) {
        return Duration::zero();
    }
    const auto median =
        responseTimes.begin() + static_cast<std::ptrdiff_t>(responseTimes.size() / 2);
    std::nth_element(responseTimes.begin(), median, responseTimes.end());
    return *median;
}

/** Factor by which a replica is slower than the median; at least 1, and 1 if not measured. */
double slowdownOf(const ReplicaState &replica, Duration median, SteadyTime now)
{
    if (median == Duration::zero() || !hasRecentMeasurement(replica, now)) {
        return 1;
    }
    return std::max(1.0,
                    static_cast<double>(responseTimeOf(replica).count())
                        / static_cast<double>(median.count()));
}

/** How much of a report of this age still counts; from 0 to 1. */
double reportWeight(Duration age)
{
    if (age <= LoadReportLifetime) {
        return 1;
    }
    const std::chrono::duration<double> late = age - LoadReportLifetime;
    const std::chrono::duration<double> halfLife = LoadReportHalfLife;
    return age >= MaxLoadReportAge ? 0 : std::exp2(-late / halfLife);
}

/** Requests in progress or waiting at a replica, by this VM's estimate. */
double estimatedRequests(const ReplicaState &replica, SteadyTime now)
{
    const auto own = static_cast<double>(replica.ownRequests);
    const auto reported = static_cast<double>(replica.load.running + replica.load.waiting
                                              + replica.startedSinceReport);
    const double ofOthers = std::max(0.0, reported - own);
    return own + ofOthers * reportWeight(now - replica.reportedAt);
}

/** The same where an old report fades to the mean of the reports instead of to no requests. */
double expectedRequests(const ReplicaState &replica, SteadyTime now)
{
    const double missing = 1 - reportWeight(now - replica.reportedAt);
    const double requests =
        estimatedRequests(replica, now) + replica.pace.meanOtherRequests * missing;
    return now < replica.fullUntil ? std::max(requests, static_cast<double>(replica.entry.slots))
                                   : requests;
}

} // namespace

ReplicaIncarnation incarnationOf(const ReplicaEntry &entry)
{
    return {entry.id, entry.endpoint, entry.startedAtMillis};
}

ReplicaFingerprint fingerprintOf(const ReplicaIncarnation &incarnation)
{
    return ReplicaFingerprint(
        fingerprintOf(absl::StrCat(incarnation.id.value(), "/", incarnation.endpoint.text(), "/",
                                   incarnation.startedAtMillis)));
}

ReplicaTable::ReplicaTable(const Clock &clock)
    : m_clock(clock)
    , m_leaving(MaxLeavingReplicas)
    , m_registryReadAt(clock.now())
    , m_registryReadAtBoot(clock.bootNow())
    , m_registryFollowedSince(clock.now())
{ }

void ReplicaTable::noteRegistryRead()
{
    const SteadyTime now = m_clock.now();
    if (!isRegistryFollowed()) {
        m_registryFollowedSince = now;
    }
    m_registryReadAt = now;
    m_registryReadAtBoot = m_clock.bootNow();
}

bool ReplicaTable::isRegistryFollowed() const
{
    return m_clock.bootNow() <= m_registryReadAtBoot + MaxRegistryReadGap;
}

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
        || replica.entry.endpoint != entry.endpoint
        || replica.entry.softwareVersion != entry.softwareVersion;
    if (restarted) {
        noteVersionGone(replica.entry);
        const std::int64_t ownRequests = replica.ownRequests;
        replica = {};
        replica.ownRequests = ownRequests;
        replica.fingerprint = fingerprintOf(incarnationOf(entry));
    }
    replica.entry = entry;
    replica.leaving = m_leaving.find(incarnationOf(entry)) != nullptr;
    replica.removeAt.reset();
}

bool ReplicaTable::markLeaving(const ReplicaIncarnation &incarnation)
{
    if (m_leaving.find(incarnation) != nullptr) {
        return false;
    }
    m_leaving.put(incarnation) = true;
    const auto found = m_replicas.find(incarnation.id);
    if (found != m_replicas.end() && incarnationOf(found->second.entry) == incarnation) {
        found->second.leaving = true;
    }
    return true;
}

bool ReplicaTable::markEnded(const ReplicaFingerprint &replica)
{
    const SteadyTime now = m_clock.now();
    for (auto &[id, state] : m_replicas) {
        if (state.fingerprint == replica && now >= state.endedUntil) {
            state.endedUntil = now + EndedReplicaTime;
            return true;
        }
    }
    return false;
}

void ReplicaTable::remove(const ReplicaId &id, SteadyTime registryCompleteAt)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end()) {
        return;
    }
    if (m_clock.now() >= registryCompleteAt) {
        noteVersionGone(found->second.entry);
        m_replicas.erase(found);
        return;
    }
    found->second.removeAt = registryCompleteAt;
}

void ReplicaTable::notePace(const ReplicaIncarnation &incarnation, ReplicaPace pace,
                            SteadyTime readAt)
{
    const auto found = m_replicas.find(incarnation.id);
    if (found != m_replicas.end() && incarnationOf(found->second.entry) == incarnation) {
        recordPace(found->second.pace, pace, readAt);
    }
}

std::vector<ReplicaId> ReplicaTable::expireMissing()
{
    std::vector<ReplicaId> expired;
    for (const auto &[id, replica] : m_replicas) {
        if (replica.removeAt.has_value() && m_clock.now() >= *replica.removeAt) {
            expired.push_back(id);
        }
    }
    for (const ReplicaId &id : expired) {
        noteVersionGone(m_replicas[id].entry);
        m_replicas.erase(id);
    }
    return expired;
}

void ReplicaTable::noteVersionGone(const ReplicaEntry &entry)
{
    const SteadyTime now = m_clock.now();
    std::erase_if(m_versionsGoneAt,
                  [&](const auto &item) { return now >= item.second + MaxStreamLifetime; });
    if (!entry.service.value().empty()) {
        m_versionsGoneAt[{entry.service, entry.softwareVersion}] = now;
    }
}

std::optional<SoftwareVersion> ReplicaTable::presentVersion(const PoolName &service) const
{
    std::optional<SoftwareVersion> version;
    for (const auto &[id, replica] : m_replicas) {
        if (replica.entry.service != service) {
            continue;
        }
        if (version.has_value() && *version != replica.entry.softwareVersion) {
            return std::nullopt;
        }
        version = replica.entry.softwareVersion;
    }
    return version;
}

bool ReplicaTable::hasSeveralVersions(const PoolName &service) const
{
    const bool isKnown = std::any_of(m_replicas.begin(), m_replicas.end(), [&](const auto &item) {
        return item.second.entry.service == service;
    });
    return isKnown && !presentVersion(service).has_value();
}

std::optional<SoftwareVersion> ReplicaTable::onlyVersion(const PoolName &service) const
{
    const SteadyTime now = m_clock.now();
    const std::optional<SoftwareVersion> version = presentVersion(service);
    const bool followed =
        now >= m_registryFollowedSince + MaxStreamLifetime && isRegistryFollowed();
    if (!version.has_value() || !followed) {
        return std::nullopt;
    }
    for (const auto &[gone, goneAt] : m_versionsGoneAt) {
        if (gone.service == service && gone.version != *version
            && now < goneAt + MaxStreamLifetime) {
            return std::nullopt;
        }
    }
    return version;
}

void ReplicaTable::beginRequest(const ReplicaId &id)
{
    const auto found = m_replicas.find(id);
    if (found != m_replicas.end()) {
        found->second.ownRequests += 1;
        found->second.startedSinceReport += 1;
    }
}

void ReplicaTable::endRequest(const ReplicaId &id, const ReplicaObservation &observation)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end()) {
        return;
    }
    ReplicaState &replica = found->second;
    const SteadyTime now = m_clock.now();
    replica.ownRequests = std::max<std::int64_t>(0, replica.ownRequests - 1);
    if (observation.outcome == ReplicaObservation::Outcome::NotSent) {
        return;
    }
    if (observation.load.has_value()) {
        replica.load = *observation.load;
        replica.reportedAt = now;
        replica.startedSinceReport = 0;
        recordOtherRequests(replica.pace,
                            std::max(0.0,
                                     static_cast<double>(replica.load.running + replica.load.waiting
                                                         - replica.ownRequests)));
    }
    if (observation.latency.has_value()) {
        replica.latency = smoothed(replica.latency, *observation.latency);
        replica.measuredAt = now;
    }
    if (observation.eventInterval.has_value()) {
        replica.eventInterval = smoothed(replica.eventInterval, *observation.eventInterval);
        replica.measuredAt = now;
    }
    if (observation.load.has_value() && observation.load->pace.has_value()) {
        const auto response =
            observation.eventInterval.has_value() ? observation.eventInterval : observation.latency;
        if (response.has_value()) {
            recordResponse(replica.pace, *response, *observation.load->pace);
        }
    }
    if (observation.outcome == ReplicaObservation::Outcome::Served) {
        replica.failures = 0;
        return;
    }
    if (observation.outcome == ReplicaObservation::Outcome::Declined && !observation.wrongReplica) {
        // The replica is overloaded, not faulty.
        replica.fullUntil = now + DeclinedPause;
        return;
    }
    replica.failures += 1;
    replica.excludedUntil = now + exclusionAfter(replica.failures);
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
        if (replica.entry.service == service && !replica.entry.draining && !replica.leaving) {
            result.push_back(&replica);
        }
    }
    return result;
}

double utilizationOf(const ReplicaState &replica, SteadyTime now)
{
    const double utilization = estimatedRequests(replica, now)
        / static_cast<double>(std::max<std::int64_t>(1, replica.entry.slots));
    return now < replica.fullUntil ? std::max(1.0, utilization) : utilization;
}

bool isFull(const ReplicaState &replica, SteadyTime now)
{
    return now < replica.fullUntil
        || estimatedRequests(replica, now)
        >= static_cast<double>(replica.entry.slots + MaxReplicaQueue);
}

PlacementInputs placementInputs(const ReplicaState &replica, SteadyTime now)
{
    PlacementInputs inputs;
    inputs.ownRequests = replica.ownRequests;
    inputs.reportedRequests = replica.load.running + replica.load.waiting;
    inputs.reportAge = now - replica.reportedAt;
    inputs.pace = replica.pace.latest;
    inputs.paceAge = paceAge(replica.pace, now);
    return inputs;
}

namespace {

/** Cost of sending a request to a replica: grows with its utilization and its slowdown. */
double costOf(const ReplicaState &replica, Duration median, SteadyTime now)
{
    return (1 + utilizationOf(replica, now)) * slowdownOf(replica, median, now);
}

/** Utilization of the least busy replica that has named no limit; 0 if there is none. */
double leastUtilization(const std::vector<const ReplicaState *> &replicas,
                        const PlacementRequest &request, SteadyTime now)
{
    std::optional<double> least;
    for (const ReplicaState *replica : replicas) {
        if (!request.limitedReplicas.contains(replica->entry.id)) {
            const double utilization = utilizationOf(*replica, now);
            least = std::min(least.value_or(utilization), utilization);
        }
    }
    return least.value_or(0);
}

/**
 * The replica for a request by its prompt or object: the one that has it in memory,
 * else the cheaper of the two that rendezvous hashing ranks first for the affinity key
 * on every VM. Null if none qualifies, being too busy or too slow.
 */
const ReplicaState *affinityReplica(const std::vector<const ReplicaState *> &healthy,
                                    const PlacementRequest &request, Duration median,
                                    SteadyTime now)
{
    const double maxWarmUtilization = request.warmState == WarmState::Prompt
        ? std::max(MaxPromptUtilization, leastUtilization(healthy, request, now) + PromptAdvantage)
        : MaxObjectUtilization;
    const ReplicaState *first = nullptr;
    const ReplicaState *second = nullptr;
    std::uint64_t firstWeight = 0;
    std::uint64_t secondWeight = 0;
    for (const ReplicaState *replica : healthy) {
        if (request.affinityKey.empty()
            || slowdownOf(*replica, median, now) >= MaxAffinitySlowdown) {
            continue;
        }
        const double utilization = utilizationOf(*replica, now);
        if (replica->entry.id == request.warmReplica && utilization < maxWarmUtilization) {
            return replica;
        }
        if (utilization >= MaxAffinityUtilization
            || request.avoidedReplicas.contains(replica->entry.id)) {
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
    const bool secondIsBetter = second != nullptr
        && costOf(*second, median, now) + SecondChoiceMargin < costOf(*first, median, now);
    return secondIsBetter ? second : first;
}

bool reportsPace(const ReplicaState *replica)
{
    return replica->pace.latest.has_value();
}

/** Mean over the replicas of their mean response times; zero if none was measured. */
Duration typicalResponse(const std::vector<const ReplicaState *> &replicas)
{
    Duration total{0};
    Duration::rep measured = 0;
    for (const ReplicaState *replica : replicas) {
        total += replica->pace.meanResponse;
        measured += replica->pace.responses > 0 ? 1 : 0;
    }
    return measured == 0 ? total : total / measured;
}

PacedCandidate pacedCandidate(const ReplicaState &replica, const PlacementRequest &request,
                              Duration typical, SteadyTime now)
{
    PacedCandidate candidate;
    candidate.id = replica.entry.id;
    candidate.isWarm = !request.affinityKey.empty() && replica.entry.id == request.warmReplica;
    candidate.isAvoided = request.avoidedReplicas.contains(replica.entry.id);
    CompletionInputs &completion = candidate.completion;
    completion.requestsAhead = expectedRequests(replica, now);
    candidate.hasRoom = !isFull(replica, now)
        && completion.requestsAhead < static_cast<double>(replica.entry.slots + MaxReplicaQueue);
    completion.slots = replica.entry.slots;
    completion.slowness =
        lastingSlowness(replica.pace, typical) * momentarySlowness(replica.pace, now);
    const bool mustLoad = !request.affinityKey.empty() && !candidate.isWarm;
    const double loadWork = request.warmState == WarmState::Prompt ? PromptWork : ObjectWork;
    completion.extraWork = mustLoad ? loadWork : 0;
    completion.networkTime = replica.entry.zone == request.zone ? 0 : CrossZoneCost;
    return candidate;
}

/** The choice where replicas report a pace, by the time at which the request would be done. */
const ReplicaState *pacedReplica(const std::vector<const ReplicaState *> &healthy,
                                 const PlacementRequest &request, SteadyTime now)
{
    const Duration typical = typicalResponse(healthy);
    std::vector<PacedCandidate> candidates;
    candidates.reserve(healthy.size());
    for (const ReplicaState *replica : healthy) {
        candidates.push_back(pacedCandidate(*replica, request, typical, now));
    }
    addExtraWorkPrice(candidates);
    const std::string &key = request.affinityKey.empty() ? request.spreadKey : request.affinityKey;
    return healthy[choosePaced(candidates, key).value()];
}

} // namespace

std::vector<const ReplicaState *> eligibleReplicas(const ReplicaTable &table,
                                                   const PlacementRequest &request, SteadyTime now)
{
    std::vector<const ReplicaState *> replicas = table.usable(request.service);
    std::erase_if(replicas, [&](const ReplicaState *replica) {
        return now < replica->endedUntil || request.excludedReplicas.contains(replica->entry.id)
            || (request.requiredVersion.has_value()
                && replica->entry.softwareVersion != *request.requiredVersion);
    });
    return replicas;
}

const ReplicaState *chooseReplica(const ReplicaTable &table, const PlacementRequest &request,
                                  SteadyTime now)
{
    std::vector<const ReplicaState *> candidates = eligibleReplicas(table, request, now);
    std::erase_if(candidates, [&](const ReplicaState *replica) {
        return replica->ownRequests >= request.maxOwnRequests;
    });
    if (candidates.empty()) {
        return nullptr;
    }
    const Duration median = medianResponseTime(candidates, request, now);
    std::vector<const ReplicaState *> healthy = candidates;
    std::erase_if(healthy,
                  [&](const ReplicaState *replica) { return now < replica->excludedUntil; });
    // If every replica has failed recently, try the one whose exclusion ends first: it may
    // work, and a refusal certainly does not serve the call.
    if (healthy.empty()) {
        return *std::min_element(candidates.begin(), candidates.end(),
                                 [](const ReplicaState *left, const ReplicaState *right) {
                                     return left->excludedUntil < right->excludedUntil;
                                 });
    }
    if (std::any_of(healthy.begin(), healthy.end(), reportsPace)) {
        return pacedReplica(healthy, request, now);
    }
    if (const ReplicaState *preferred = affinityReplica(healthy, request, median, now)) {
        return preferred;
    }
    const auto fullCost = [&](const ReplicaState *replica) {
        const double crossZoneCost = replica->entry.zone == request.zone ? 0 : CrossZoneCost;
        const double avoidanceCost =
            request.avoidedReplicas.contains(replica->entry.id) ? AvoidanceCost : 0;
        return costOf(*replica, median, now) + crossZoneCost + avoidanceCost;
    };
    return *std::min_element(healthy.begin(), healthy.end(),
                             [&](const ReplicaState *left, const ReplicaState *right) {
                                 return fullCost(left) < fullCost(right);
                             });
}

} // namespace boragepath
