#pragma once

#include "operators/command_line.h"

#include <string>
#include <vector>

namespace boragepath {

/** Reads the arguments of the command line tool; ends the process if they are wrong or ask for
 * help. */
CommandLine parseArguments(const std::vector<std::string> &words);

} // namespace boragepath
