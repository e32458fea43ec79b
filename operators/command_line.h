#pragma once

#include <string>

namespace boragepath {

/** One call of the command line tool. */
struct CommandLine
{
    std::string daemon;
    std::string keyFile;
    bool useTls = false;
    bool json = false;
    /** First and second word of the command; the verb may be empty. */
    std::string subject;
    std::string verb;
    std::string file;
    bool dryRun = false;
    std::string base;
    /** File with log lines, or "-"; and the id to look up in it. */
    std::string logFile;
    std::string id;
    std::string entry;
    std::string program;
    std::string call;
    std::string outcome;
    std::string level;
};

/** Exit codes of the command line tool. */
constexpr int ExitSuccess = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadArguments = 2;
constexpr int ExitConflict = 3;
constexpr int ExitUnreachable = 4;

/** Carries a command out, prints the result, and gives the exit code. */
int runCommand(const CommandLine &command);

} // namespace boragepath
