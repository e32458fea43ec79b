#pragma once

#include "core/settings.h"
#include "load/program_run.h"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace boragepath {

/** An entry as the tools of this folder need it. */
struct EntrySpec
{
    std::string name;
    std::string serviceClass = "conversation";
    int objectiveMillis = 10'000;
    std::vector<std::string> pools;
    std::int64_t budgetTokens = 1'000'000'000;
    int callsPerProgram = 40;
};

/** The catalogue file with these entries; keys are those of keyOfEntry(). */
std::string catalogueText(const std::vector<EntrySpec> &entries);

/** Applies a catalogue by the operator interface; empty if accepted, else the answer. */
boost::asio::awaitable<std::string> applyCatalogue(Endpoint daemon, std::string operatorKey,
                                                   std::string text);

/** Waits until the daemon answers that it is ready; false after @p patience. */
boost::asio::awaitable<bool> waitUntilReady(Endpoint daemon, Milliseconds patience);

/** Reads JSON by the operator interface, or from a stand-in; empty if it does not answer. */
boost::asio::awaitable<std::string> readJson(Endpoint server, std::string target, std::string key);

} // namespace boragepath
