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
 * What a log collector writes before the JSON of a line is passed over; lines
 * without JSON are counted in @p unreadable.
 */
std::vector<LogRecord> readLog(std::istream &input, std::size_t &unreadable);

/**
 * Tells what became of a request, or of all requests of a program, and why.
 *
 * @param id id of the request (a caller's attempt) or of the program.
 * @return plain text; empty if no line names @p id.
 */
std::string tellStory(const std::vector<LogRecord> &log, const std::string &id);

} // namespace boragepath
