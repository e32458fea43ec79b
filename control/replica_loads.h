#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "peers/gen/messages_types.h"

#include <map>
#include <vector>

namespace boragepath {

/** Loads of the replicas, as reported by gossip and corrected by this VM's own calls since. */
class ReplicaLoads
{
public:
    /** Estimated load and availability of one replica. */
    struct Load
    {
        double running = 0;
        double waiting = 0;
        std::int64_t version = 0;
        bool leaving = false;
        /** Number of times that this VM has gossiped the latest report. */
        int gossipSends = 0;
        /** Consecutive connection failures. */
        int failures = 0;
        /** The circuit breaker keeps new calls away until this time. */
        SteadyTime unavailableUntil;
    };

    explicit ReplicaLoads(const Clock &clock);

    /** Applies a load report of a permit server, unless it is not newer than the known one. */
    void update(const peers::ReplicaLoad &load);
    /** Applies the counts that came with a permit answer. */
    void updateCounts(const ReplicaId &replica, int running, int waiting);
    /** Adds @p change to the running calls: 1 when a call of this VM starts, -1 when it ends. */
    void adjustRunning(const ReplicaId &replica, int change);
    /** Resets the failure count of the replica. */
    void recordSuccess(const ReplicaId &replica);
    /** Counts a connection failure; repeated failures make the replica unavailable for a while. */
    void recordFailure(const ReplicaId &replica);

    /** Load of a replica; an empty load if nothing is known. */
    const Load &forReplica(const ReplicaId &replica) const;
    /** True if new calls may be sent to the replica. */
    bool isAvailable(const ReplicaId &replica) const;
    /** Returns up to @p maxReports reports, the least gossiped first, and counts them as sent. */
    std::vector<peers::ReplicaLoad> takeForGossip(std::size_t maxReports);
    /** Records whether the replica is leaving, and gossips the change. */
    void setLeaving(const ReplicaId &replica, bool leaving);

private:
    const Clock &m_clock;
    std::map<ReplicaId, Load> m_loads;
};

} // namespace boragepath
