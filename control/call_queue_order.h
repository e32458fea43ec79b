#pragma once

#include "control/route_table.h"
#include "core/clock.h"
#include "core/ids.h"

#include <optional>
#include <vector>

namespace boragepath {

/** A call that waits for a free slot at a replica, with the fields that decide its order. */
struct QueuedCall
{
    CallHandle handle;
    PoolName service;
    /** When its program should be finished; none if the caller did not state it. */
    std::optional<SteadyTime> programDeadline;
    /** Priority of the route; 0 is the most urgent. */
    int priority = 0;
    /** A replica has served an earlier call of the program, or the beginning of this stream. */
    bool programStarted = false;
    /** Any replica of the service with a free slot may take it. */
    bool fitsAnyReplica = true;
    SteadyTime queuedAt;
};

/**
 * True if @p left is served before @p right.
 *
 * Designed for bursts of more programs than the replicas can finish in time. In
 * order of arrival, all of them would miss their deadlines. Instead, calls are
 * ordered by these criteria: programs whose deadline has not passed, then more urgent
 * routes, then programs that have already started, then the earliest deadline.
 */
bool precedes(const QueuedCall &left, const QueuedCall &right, SteadyTime now);

/** Sorts waiting calls into the order in which they are served. */
void sortCallQueue(std::vector<QueuedCall> &calls, SteadyTime now);

} // namespace boragepath
