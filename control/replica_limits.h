#pragma once

#include "control/replica_table.h"
#include "core/clock.h"
#include "core/lru_map.h"
#include "core/units.h"
#include "peers/gen/messages_types.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace boragepath {

/** What an answer of a replica says about the rate of requests that the replica takes. */
struct LimitStatement
{
    enum class Kind {
        NoLimit,
        Limited,
        /** It names a limit that cannot be read; says nothing, and changes nothing. */
        Unreadable,
    };
    Kind kind = Kind::NoLimit;
    /** From all VMs together; zero if the replica takes no requests at all. */
    RequestRate limit;
};

/**
 * The rate limits that replicas have named, by incarnation.
 *
 * Answers arrive in any order. A replica wrote its answer at some time between the sending of the
 * request and the arrival of the answer. A limit counts from the later of the two and the absence
 * of a limit from the earlier one, so that of two answers which may have been written in either
 * order the one with the limit is believed.
 *
 * VMs pass on each change with their gossip, so that a replica is not overrun by VMs that have not
 * had an answer of it yet, and is not held back by those that have not heard of the limit's end.
 */
class ReplicaLimits
{
public:
    explicit ReplicaLimits(const Clock &clock);

    /**
     * Records the answer to a request that was sent at @p sentAt.
     *
     * @return true if the limit of the replica differs from what was known.
     */
    bool noteAnswer(const ReplicaFingerprint &replica, const LimitStatement &statement,
                    SteadyTime sentAt);

    /** The limit of a replica; none if it has named none. */
    std::optional<RequestRate> limitOf(const ReplicaFingerprint &replica) const;
    /** True if an answer has named the limit lately, as far as this VM has heard. */
    bool isConfirmed(const ReplicaFingerprint &replica) const;
    /** What this VM knows about a replica, for other VMs. */
    peers::ReplicaLimitNews newsOf(const ReplicaFingerprint &replica) const;
    /** Merges what another VM knows. */
    void receive(const std::vector<peers::ReplicaLimitNews> &news);
    /** News that has not been passed on often enough, at most @p count; counts it as passed on. */
    std::vector<peers::ReplicaLimitNews> takeForGossip(std::size_t count);

    /** False if no replica that is remembered has ever named a limit. */
    bool any() const { return m_known.size() > 0; }

private:
    struct Knowledge
    {
        std::optional<RequestRate> limit;
        /** The answer that says so was written at this time. */
        SteadyTime statedAt;
        /** Rounds of gossip in which it still has to be passed on. */
        int roundsLeft = 0;
    };

    bool learn(const ReplicaFingerprint &replica, const Knowledge &news);

    const Clock &m_clock;
    LruMap<ReplicaFingerprint, Knowledge> m_known;
    /** Those with rounds of gossip left. */
    std::deque<ReplicaFingerprint> m_toPassOn;
};

} // namespace boragepath
