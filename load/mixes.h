#pragma once

#include "load/deployment_client.h"
#include "load/program_run.h"

#include <cstdint>
#include <string>
#include <vector>

namespace boragepath {

/** Programs to run, and the catalogue entries that they call. */
struct Workload
{
    std::vector<EntrySpec> entries;
    std::vector<PlannedProgram> programs;
};

/**
 * Generates a random workload that @p seed determines entirely.
 *
 * The mix "registry" models a share registry: short questions at the counter, and long share
 * transfers with pauses, a non-idempotent call that issues a share, and at times a sub-agent.
 * The mix "spa" models many organisations that are idle for most of the time: bursts of concierge
 * chats, checkouts that charge a card once, quick rebooks and pager alerts. Arrivals are
 * open-loop, with @p programsPerSecond on average for @p duration.
 */
Workload makeWorkload(const std::string &mix, double programsPerSecond, Seconds duration,
                      std::uint64_t seed);

/** Returns true if there is a mix of this name. */
bool isKnownMix(const std::string &name);

} // namespace boragepath
