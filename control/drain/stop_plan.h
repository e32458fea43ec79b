#pragma once

#include "core/clock.h"

namespace boragepath {

/** Retry-After of refusals because of a stop: another VM can take the call at once. */
inline constexpr Milliseconds StopRetryAfter{10};

/**
 * The times of a planned stop, from the signal that begins it to the end of the process.
 *
 * A call that is passed on to a replica must be answered before the process ends. Nobody knows how
 * long a call will take, but its deadline bounds it.
 */
struct StopPlan
{
    SteadyTime startedAt;
    /** Until then calls are passed on whatever their deadlines are. */
    SteadyTime acceptsAllUntil;
    /** Calls that replicas still work on are broken off. */
    SteadyTime callsEnd;
    /** The process ends, even if something is left to do. */
    SteadyTime processEnd;
};

/** Plans a stop that begins at @p startedAt and ends with SIGKILL after @p grace. */
StopPlan planStop(SteadyTime startedAt, Milliseconds grace);

/** True if a call that ends at its @p deadline at the latest may be passed on to a replica now. */
bool mayPassOn(const StopPlan &plan, SteadyTime now, SteadyTime deadline);

} // namespace boragepath
