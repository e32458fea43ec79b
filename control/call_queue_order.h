#pragma once

#include "control/route_table.h"
#include "core/clock.h"
#include "core/ids.h"

#include <optional>
#include <vector>

namespace boragepath {

/** A call that waits for a place at a replica, as far as its turn depends on it. */
struct WaitingCall
{
    CallHandle handle;
    PoolName service;
    /** When its program should be finished; none if the caller did not say. */
    std::optional<SteadyTime> programDeadline;
    /** 0 goes first. */
    int priority = 0;
    /** Its program has been served before. */
    bool underWay = false;
    SteadyTime since;
};

/**
 * Whether one waiting call goes before another.
 *
 * Serves the load pattern of a burst of programs beyond what the replicas can
 * finish in time. Served in order of arrival, all programs become late together;
 * so those that can still be in time go first, then the more urgent routes, then
 * programs under way before new ones, then the one that is due first.
 */
bool goesBefore(const WaitingCall &left, const WaitingCall &right, SteadyTime now);

/** Sorts calls that wait in the order in which they are to be served. */
void sortWaiting(std::vector<WaitingCall> &calls, SteadyTime now);

} // namespace boragepath
