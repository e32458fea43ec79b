#pragma once

#include "control/replica_limits.h"
#include "control/replica_table.h"
#include "control/send_permits.h"
#include "control/vm_directory.h"
#include "core/clock.h"
#include "core/ids.h"

#include <cstddef>
#include <optional>
#include <set>

namespace boragepath {

/** How far a call has got in looking for a permit. */
struct PermitSearch
{
    /** A replica has served an earlier call of the program, or the beginning of the stream. */
    bool underWay = false;
    /** Permits that were asked for on the call's behalf. */
    int questions = 0;
};

/**
 * Chooses replicas where some of them have named limits on their requests.
 *
 * Designed for services of which a part, or nearly all, takes far less than the callers ask for.
 * Work goes first to the replicas that have room. The others are used as far as permits can be had
 * soon; calls of programs that are under way may book them further ahead than new ones.
 */
class LimitedPlacement
{
public:
    struct Dependencies
    {
        const Clock &clock;
        const ReplicaTable &replicas;
        const ReplicaLimits &limits;
        SendPermits &permits;
        const VmDirectory &vms;
    };

    explicit LimitedPlacement(Dependencies dependencies);

    /** The calls that wait are about to be looked at again, from the first. */
    void beginRound() { m_awaitedReplicas.clear(); }
    /**
     * The replica that a call may be sent to now, or null. Asks for a permit if the call would best
     * go to a replica that needs one, and keeps that permit for the call in this round.
     */
    const ReplicaState *findReady(PlacementRequest request, PermitSearch &search);
    /**
     * When a replica may serve a request: now if it only needs a slot; none if there is no replica
     * for it.
     */
    std::optional<SteadyTime> earliestService(const PlacementRequest &request) const;
    /**
     * How long a call will wait for a permit behind @p callsAhead others, by what all VMs together
     * may send; none if some replica of the service has named no limit.
     */
    std::optional<Duration> expectedWait(const PoolName &service, std::size_t callsAhead) const;

private:
    /** The replica for a request, or null if it is full. */
    const ReplicaState *chooseWithRoom(const PlacementRequest &request) const;
    /** The same among those that have named no limit. */
    const ReplicaState *chooseUnlimited(PlacementRequest request) const;
    /** Marks the replicas that have a limit, and excludes those that can't be had in time. */
    void applyLimits(PlacementRequest &request, Duration patience) const;
    /** When the replica may get the call; asks for a permit if that is necessary and of use. */
    SendOutlook outlookAfterAsking(PermitSearch &search, const ReplicaState &replica,
                                   Duration patience);

    Dependencies m_dependencies;
    /** Replicas for whose next permit a call waits that was looked at earlier in this round. */
    std::set<ReplicaId> m_awaitedReplicas;
};

} // namespace boragepath
