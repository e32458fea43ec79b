#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace boragepath {

/** Mean of what the replicas of a service have lately reported to a VM. */
struct ReportedUtilization
{
    /** Requests at a replica, those that wait included, as a part of its slots. */
    double mean = 0;
    SteadyTime reportedAt;
};

/**
 * Adds a report of one replica. For many VMs, each of which gets a few reports a second: together
 * they show the load of the service, though not that of each replica.
 */
void recordReport(ReportedUtilization &utilization, std::int64_t requests, std::int64_t slots,
                  SteadyTime now);

/** What a VM knows about the load of a service when a program asks to begin. */
struct ServiceLoad
{
    /** Calls that wait at this VM for a slot at any replica of the service. */
    std::size_t waitingCalls = 0;
    ReportedUtilization utilization;
};

/**
 * True if a program may begin.
 *
 * For more programs than the replicas can finish in time. Each program that begins makes those
 * under way slower, until all of them end late and their turns are sent again, which keeps the
 * replicas overloaded after the load has gone. Calls that wait, here or at the replicas, show that
 * programs under way need all slots.
 */
bool mayBeginProgram(const ServiceLoad &load, SteadyTime now);

/**
 * Time after which a program that may not begin should ask again, by when some of those under way
 * have ended. Programs that were refused together come back one after the other; @p program chooses
 * the moment.
 */
Milliseconds programRetryDelay(std::string_view program);

} // namespace boragepath
