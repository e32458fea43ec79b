#pragma once

#include "core/settings.h"
#include "load/program_run.h"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace boragepath {

/** The catalogue fields that the load tools set for an entry. */
struct EntrySpec
{
    std::string name;
    std::string serviceClass = "conversation";
    int objectiveMillis = 10'000;
    std::vector<std::string> pools;
    std::int64_t budgetTokens = 1'000'000'000;
    int callsPerProgram = 40;
};

/** Returns the catalogue with these entries as JSON; each key is that of bearerKeyFor(). */
std::string catalogueJson(const std::vector<EntrySpec> &entries);

/**
 * Applies a catalogue through the operator API.
 *
 * @return an empty text if it was accepted, else the response body or the connection error.
 */
boost::asio::awaitable<std::string> applyCatalogue(Endpoint daemon, std::string operatorKey,
                                                   std::string text);

/** Polls the health endpoint of a daemon until it is ready; false after @p timeout. */
boost::asio::awaitable<bool> waitUntilReady(Endpoint daemon, Milliseconds timeout);

/**
 * Reads JSON from the operator API or from the control port of the stand-in servers.
 *
 * @return the response body, or an empty text if no complete response came.
 */
boost::asio::awaitable<std::string> readJson(Endpoint server, std::string target, std::string key);

} // namespace boragepath
