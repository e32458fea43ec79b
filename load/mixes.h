#pragma once

#include "load/deployment_client.h"
#include "load/program_run.h"

#include <cstdint>
#include <string>
#include <vector>

namespace boragepath {

/** Programs to be run and the entries that they need. */
struct Workload
{
    std::vector<EntrySpec> entries;
    std::vector<PlannedProgram> programs;
};

/**
 * Programs as the two users describe theirs, at random but fixed by @p seed.
 *
 * registry: short questions at the counter, and long transfers that come back
 * after pauses, issue a share once and ask a sub-agent. spa: many idle
 * organisations with bursts of concierge chats, checkouts that charge a card
 * once, quick rebooks and pager alerts. Arrivals are open-loop with
 * @p programsPerSecond on average for @p duration.
 */
Workload makeWorkload(const std::string &mix, double programsPerSecond, Seconds duration,
                      std::uint64_t seed);

/** True if there is a mix of this name. */
bool isKnownMix(const std::string &name);

} // namespace boragepath
