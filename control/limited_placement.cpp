#include "control/limited_placement.h"

#include <algorithm>
#include <chrono>

namespace boragepath {

namespace {

/** A call waits this long for a permit although another replica could take it at once. */
constexpr Milliseconds ShortPermitWait{40};
/**
 * The same where the other replicas are so busy that the call would run longer there than it waits,
 * or where the replica with the limit has the call's prompt or object in memory.
 */
constexpr Milliseconds LongPermitWait{250};
/** Up to this utilization, a replica without a limit is better than a wait. */
constexpr double MaxUtilizationToMoveOn = 0.75;
/** Permits that a call asks for while replicas without a limit could take it. */
constexpr int MaxQuestions = 2;
/** Stands for limits of zero where a wait is estimated. */
constexpr double MinRequestsPerSecond = 0.001;
constexpr std::chrono::duration<double> LongestExpectedWait{60};

/** How long a call waits for the permit of one replica before it goes to another one. */
Duration longestWait(bool isWarm, Duration patience)
{
    return isWarm ? Duration(LongPermitWait) : std::min<Duration>(patience, LongPermitWait);
}

} // namespace

LimitedPlacement::LimitedPlacement(Dependencies dependencies)
    : m_dependencies(dependencies)
{ }

void LimitedPlacement::applyLimits(PlacementRequest &request, Duration patience) const
{
    using Kind = SendOutlook::Kind;
    const SteadyTime now = m_dependencies.clock.now();
    for (const ReplicaState *replica : m_dependencies.replicas.usable(request.service)) {
        const SendOutlook outlook = m_dependencies.permits.outlook(replica->fingerprint);
        const ReplicaId &id = replica->entry.id;
        if (outlook.kind == Kind::Free) {
            continue;
        }
        request.limitedReplicas.insert(id);
        // A replica whose limit may have ended is placed like the others, within its limit: the
        // answer shows whether it has.
        if (m_dependencies.limits.isConfirmed(replica->fingerprint)) {
            request.avoidedReplicas.insert(id);
        }
        const bool isWarm = id == request.warmReplica;
        const bool awaited = outlook.kind == Kind::Awaited
            && (outlook.at > now + longestWait(isWarm, patience) || m_awaitedReplicas.contains(id));
        if (outlook.kind == Kind::Closed || awaited) {
            request.excludedReplicas.insert(id);
        }
    }
}

const ReplicaState *LimitedPlacement::chooseWithRoom(const PlacementRequest &request) const
{
    const SteadyTime now = m_dependencies.clock.now();
    const ReplicaState *replica = chooseReplica(m_dependencies.replicas, request, now);
    return replica == nullptr || isFull(*replica, now) ? nullptr : replica;
}

const ReplicaState *LimitedPlacement::chooseUnlimited(PlacementRequest request) const
{
    for (const ReplicaState *replica : m_dependencies.replicas.usable(request.service)) {
        if (m_dependencies.limits.limitOf(replica->fingerprint).has_value()) {
            request.excludedReplicas.insert(replica->entry.id);
        }
    }
    return chooseWithRoom(request);
}

const ReplicaState *LimitedPlacement::findReady(PlacementRequest request, PermitSearch &search)
{
    if (!m_dependencies.limits.any()) {
        return chooseWithRoom(request);
    }
    const SteadyTime now = m_dependencies.clock.now();
    const ReplicaState *unlimited = chooseUnlimited(request);
    const bool hasIdle =
        unlimited != nullptr && utilizationOf(*unlimited, now) < MaxUtilizationToMoveOn;
    if (hasIdle && search.questions >= MaxQuestions) {
        return unlimited;
    }
    const Duration patience = hasIdle ? ShortPermitWait
        : unlimited != nullptr        ? LongPermitWait
        : search.underWay             ? MaxPermitDelay
                                      : MaxPermitDelay / 2;
    applyLimits(request, patience);
    while (const ReplicaState *replica = chooseWithRoom(request)) {
        const bool isWarm = replica->entry.id == request.warmReplica;
        const Duration wait = isWarm ? std::max<Duration>(patience, LongPermitWait) : patience;
        const SendOutlook outlook = outlookAfterAsking(search, *replica, wait);
        if (outlook.kind == SendOutlook::Kind::Free
            || outlook.kind == SendOutlook::Kind::Permitted) {
            return replica;
        }
        if (outlook.kind == SendOutlook::Kind::Awaited
            && outlook.at <= now + longestWait(isWarm, patience)) {
            m_awaitedReplicas.insert(replica->entry.id);
            return nullptr;
        }
        request.excludedReplicas.insert(replica->entry.id);
    }
    return nullptr;
}

SendOutlook LimitedPlacement::outlookAfterAsking(PermitSearch &search, const ReplicaState &replica,
                                                 Duration patience)
{
    SendPermits &permits = m_dependencies.permits;
    const SendOutlook outlook = permits.outlook(replica.fingerprint);
    if (outlook.kind != SendOutlook::Kind::Askable) {
        return outlook;
    }
    search.questions += 1;
    permits.ask(replica.fingerprint, patience);
    return permits.outlook(replica.fingerprint);
}

std::optional<SteadyTime> LimitedPlacement::earliestService(const PlacementRequest &request) const
{
    const SteadyTime now = m_dependencies.clock.now();
    std::optional<SteadyTime> earliest;
    for (const ReplicaState *replica : eligibleReplicas(m_dependencies.replicas, request, now)) {
        const SendOutlook outlook = m_dependencies.permits.outlook(replica->fingerprint);
        const bool needsWait =
            outlook.kind == SendOutlook::Kind::Closed || outlook.kind == SendOutlook::Kind::Awaited;
        const SteadyTime at = needsWait ? std::max(now, outlook.at) : now;
        earliest = std::min(earliest.value_or(at), at);
    }
    return earliest;
}

std::optional<Duration> LimitedPlacement::expectedWait(const PoolName &service,
                                                       std::size_t callsAhead) const
{
    if (!m_dependencies.limits.any()) {
        return std::nullopt;
    }
    double totalPerSecond = 0;
    for (const ReplicaState *replica : m_dependencies.replicas.usable(service)) {
        const auto limit = m_dependencies.limits.limitOf(replica->fingerprint);
        if (!limit.has_value()) {
            return std::nullopt;
        }
        totalPerSecond += limit->value();
    }
    const auto vms = static_cast<double>(m_dependencies.vms.liveCount());
    const std::chrono::duration<double> wait(static_cast<double>(callsAhead) * vms
                                             / std::max(totalPerSecond, MinRequestsPerSecond));
    return std::chrono::duration_cast<Duration>(std::min(wait, LongestExpectedWait));
}

} // namespace boragepath
