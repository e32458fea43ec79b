#pragma once

#include "operators/command_line.h"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace boragepath {

/** A table for a terminal: columns as wide as their widest cell. */
std::string renderTable(const std::vector<std::string> &titles,
                        const std::vector<std::vector<std::string>> &rows);

/** The answer to a command as a person reads it. */
std::string renderAnswer(const CommandLine &command, const boost::json::object &answer);

} // namespace boragepath
