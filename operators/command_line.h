#pragma once

#include <string>

namespace boragepath {

/** The parsed arguments of one run of the command-line tool. */
struct CommandLine
{
    std::string daemon;
    std::string keyFile;
    bool useTls = false;
    bool json = false;
    /** First and second word of the command, such as "catalogue apply"; the verb may be empty. */
    std::string subject;
    std::string verb;
    std::string file;
    bool dryRun = false;
    std::string base;
    /** File with log lines, or "-" for standard input. */
    std::string logFile;
    /** The request or program id to look up in the log. */
    std::string id;
    std::string entry;
    std::string program;
    std::string call;
    std::string outcome;
    std::string level;
};

/** Exit codes of the command-line tool. */
constexpr int ExitSuccess = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadArguments = 2;
constexpr int ExitConflict = 3;
constexpr int ExitUnreachable = 4;

/** Executes a command, prints its result, and returns the exit code. */
int runCommand(const CommandLine &command);

} // namespace boragepath
