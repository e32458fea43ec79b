#pragma once

#include "control/replica_table.h"
#include "core/clock.h"
#include "core/lru_map.h"
#include "core/strong_type.h"
#include "core/units.h"

#include <cstdint>
#include <optional>

namespace boragepath {

/** Identifies one incarnation of a replica in messages between VMs. */
using ReplicaFingerprint = StrongType<std::int64_t, struct ReplicaFingerprintTag>;

ReplicaFingerprint fingerprintOf(const ReplicaIncarnation &incarnation);

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
    /** False if no replica that is remembered has ever named a limit. */
    bool any() const { return m_known.size() > 0; }

private:
    struct Knowledge
    {
        std::optional<RequestRate> limit;
        /** The answer that says so was written at this time. */
        SteadyTime statedAt;
    };

    bool learn(const ReplicaFingerprint &replica, const Knowledge &news);

    const Clock &m_clock;
    LruMap<ReplicaFingerprint, Knowledge> m_known;
};

} // namespace boragepath
