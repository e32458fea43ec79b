#pragma once

#include <cstdint>

namespace boragepath {

/** What the end of a request at one replica depends on. */
struct CompletionInputs
{
    /** Requests in progress or waiting there, by this VM's estimate. */
    double requestsAhead = 0;
    std::int64_t slots = 1;
    /** Duration of work there, as a factor of the typical one of the service. */
    double slowness = 1;
    /** Work to read the prompt or to load the object again, as a share of a typical request;
     * 0 if the replica has it in memory. */
    double extraWork = 0;
    /** Time that the network adds, as a share of a typical request's duration. */
    double networkTime = 0;
};

/** Time that a request waits for a slot, in durations of one request at that replica. */
double expectedWait(double requestsAhead, std::int64_t slots);

/**
 * Time until a request would be done at a replica, in typical durations of a request.
 *
 * For replicas of which some are busy and others slow at any moment: a busy fast one may be done
 * before an idle slow one.
 */
double expectedCompletion(const CompletionInputs &inputs);

} // namespace boragepath
