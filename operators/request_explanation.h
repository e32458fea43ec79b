#pragma once

#include <absl/time/time.h>
#include <boost/json.hpp>

#include <istream>
#include <string>
#include <vector>

namespace boragepath {

/** One line of a VM's log. */
struct LogRecord
{
    absl::Time at;
    std::string event;
    std::string vm;
    boost::json::object fields;
};

/**
 * Reads log lines of any number of VMs, in any order, and sorts them by time.
 *
 * Any prefix that a log collector writes before the JSON of a line is ignored; lines
 * without a JSON object or a valid time are skipped and counted in @p unreadable.
 */
std::vector<LogRecord> readLog(std::istream &input, std::size_t &unreadable);

/**
 * Reports the outcome of a request, or of all requests of a program, and its cause.
 *
 * @param id id of the request (one attempt of a caller) or of the program.
 * @return plain text; empty if no log line contains @p id.
 */
std::string explainRequest(const std::vector<LogRecord> &log, const std::string &id);

} // namespace boragepath
