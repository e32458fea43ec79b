#pragma once

#include "core/clock.h"
#include "core/strong_type.h"

#include <cstdint>
#include <optional>

namespace boragepath {

/**
 * Duration of work on a replica at the moment, in hundredths of its usual duration: 100 as usual,
 * more if the machine is shared with other work that slows it down.
 */
using ReplicaPace = StrongType<std::int64_t, struct ReplicaPaceTag>;

/** What this VM knows about the changing speed of one incarnation of a replica. */
struct PaceRecord
{
    /** The last reported pace; none if the replica has reported none. */
    std::optional<ReplicaPace> latest;
    /** When the answer with that report was read. */
    SteadyTime reportedAt;
    /** Mean pace reported in the answers that meanResponse was measured at, in hundredths. */
    double meanPace = 0;
    /** Mean time between two events, or to the answer, over many answers; zero if unknown. */
    Duration meanResponse{0};
    std::int64_t responses = 0;
    /** Mean of the reported requests that are not this VM's. */
    double meanOtherRequests = 0;
    std::int64_t loadReports = 0;
};

/** Records a report that was read at @p readAt; an older one than the latest changes nothing. */
void recordPace(PaceRecord &record, ReplicaPace pace, SteadyTime readAt);

/** Records a response time, and the pace that the same answer reported. */
void recordResponse(PaceRecord &record, Duration response, ReplicaPace pace);

/** Records the requests of other VMs that a report shows. */
void recordOtherRequests(PaceRecord &record, double requests);

/** Age of the last reported pace; none if there is none. */
std::optional<Duration> paceAge(const PaceRecord &record, SteadyTime now);

/**
 * Factor by which work at the replica is expected to take longer now than in the mean of this
 * VM's measurements. Fades to 1 as the last report ages.
 *
 * For interference that slows single replicas for some hundred milliseconds at a time.
 */
double momentarySlowness(const PaceRecord &record, SteadyTime now);

/**
 * Factor by which the replica is lastingly slower than @p typicalResponse, the mean response time
 * of its service; below 1 if it is faster, and 1 if it was not measured.
 *
 * For replicas on machines of different kinds, of which this VM measures few answers each.
 */
double lastingSlowness(const PaceRecord &record, Duration typicalResponse);

} // namespace boragepath
