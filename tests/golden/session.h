#pragma once

#include <string>

namespace boragepath {

/**
 * Runs a scripted session against one control core and returns its output.
 *
 * A script consists of blocks separated by lines "---". A block is either an HTTP request (request
 * line, fields, an empty line, the body) or a list of commands, one per line:
 *
 *   ! advance MILLIS      advances the clock
 *   ! break               the next call to a backend server fails in the middle of its answer
 *   ! lose                the next answer of the store is lost
 *   ! restart             the process is killed and a new one starts
 *
 * The output shows the response to each request and every row that was written, except the rows of
 * heartbeats and of shard ownership. The clock and the random numbers are fixed, so the same script
 * always gives the same output.
 */
std::string playSession(const std::string &script);

} // namespace boragepath
