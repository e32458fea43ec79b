#pragma once

#include <string>

namespace boragepath {

/**
 * Plays a session against one control core and gives all that came out.
 *
 * A script has blocks divided by lines "---". A block is either an HTTP
 * request (request line, fields, an empty line, the body) or commands, one a
 * line:
 *
 *   ! advance MILLIS      lets time pass
 *   ! break               the next backend call breaks in the middle
 *   ! lose                the next answer of the store is lost
 *   ! restart             the process dies and a new one starts
 *
 * The result shows each request's response and every row that was written.
 * Clock and random numbers are fixed, so the same script gives the same result.
 */
std::string playSession(const std::string &script);

} // namespace boragepath
