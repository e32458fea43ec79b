#pragma once

#include "operators/command_line.h"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace boragepath {

/** Formats a table for a terminal; each column is as wide as its widest cell. */
std::string renderTable(const std::vector<std::string> &titles,
                        const std::vector<std::vector<std::string>> &rows);

/** Formats the answer to a command as text for people. */
std::string renderAnswer(const CommandLine &command, const boost::json::object &answer);

} // namespace boragepath
