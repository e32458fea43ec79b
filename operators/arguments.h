#pragma once

#include "operators/command_line.h"

#include <string>
#include <vector>

namespace boragepath {

/** Parses the arguments of the command-line tool; exits the process if they are invalid or ask for
 * help. */
CommandLine parseArguments(const std::vector<std::string> &words);

} // namespace boragepath
