#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "peers/gen/messages_types.h"

#include <map>
#include <vector>

namespace boragepath {

/** What this VM has heard of the replicas' loads, corrected by its own calls since. */
class ReplicaLoads
{
public:
    /** What is believed of one replica. */
    struct Load
    {
        double running = 0;
        double waiting = 0;
        std::int64_t version = 0;
        bool leaving = false;
        /** Times that the load was passed on since it was heard. */
        int spread = 0;
        /** Connection failures since the last success. */
        int failures = 0;
        SteadyTime brokenUntil;
    };

    explicit ReplicaLoads(const Clock &clock);

    /** Takes a gatekeeper's statement, unless a newer one is known. */
    void update(const peers::ReplicaLoad &load);
    /** Takes the counts that came with a permit answer. */
    void updateCounts(const ReplicaId &replica, int running, int waiting);
    /** Counts a call of this VM that is now under way, or has ended. */
    void adjustRunning(const ReplicaId &replica, int change);
    void recordSuccess(const ReplicaId &replica);
    void recordFailure(const ReplicaId &replica);

    const Load &forReplica(const ReplicaId &replica) const;
    /** True if new calls may go there. */
    bool isAvailable(const ReplicaId &replica) const;
    /** The statements that have been passed on least, to be passed on once more. */
    std::vector<peers::ReplicaLoad> takeForGossip(std::size_t most);
    /** Takes note that a replica leaves, or no longer does. */
    void setLeaving(const ReplicaId &replica, bool leaving);

private:
    const Clock &m_clock;
    std::map<ReplicaId, Load> m_loads;
};

} // namespace boragepath
