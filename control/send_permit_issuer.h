#pragma once

#include "control/replica_limits.h"
#include "core/clock.h"
#include "core/lru_map.h"
#include "core/units.h"

#include <optional>
#include <random>

namespace boragepath {

/** Answer to a VM that asks whether it may send one request to a replica. */
struct SendPermitDecision
{
    bool granted = false;
    /** Time until the permit may be used; if it was not granted, until it is worth asking again. */
    Duration delay{0};
};

/**
 * Issues the permits to send requests to replicas that have named a limit.
 *
 * Designed for limits that are far below what the callers of all VMs ask for. Permits are spaced
 * evenly, however many VMs ask and after whatever pause, and none is saved for later. Those that
 * are asked for in advance are booked in the order of the questions.
 *
 * An issuer that knows nothing of a replica issues no permit until those that another VM may have
 * issued before it have run out.
 */
class SendPermitIssuer
{
public:
    SendPermitIssuer(const Clock &clock, std::uint64_t seed);

    /** Decides on one permit at @p rate; the VM that asks waits no longer than @p maxDelay. */
    SendPermitDecision decide(const ReplicaFingerprint &replica, RequestRate rate,
                              Duration maxDelay);

private:
    struct Schedule
    {
        /** No permit may be used before this time. */
        SteadyTime startsAt;
        /** When the last permit may be used; none if there is none yet. */
        std::optional<SteadyTime> lastPermitAt;
    };

    const Clock &m_clock;
    std::mt19937_64 m_random;
    LruMap<ReplicaFingerprint, Schedule> m_schedules;
};

/** A permit that is granted in advance is granted for no later than this from now. */
inline constexpr Milliseconds MaxPermitDelay{800};
/** A permit may be used for this long after the time that it is granted for. */
inline constexpr Milliseconds PermitValidity{250};

} // namespace boragepath
