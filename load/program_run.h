#pragma once

#include "load/caller_client.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace boragepath {

/** One step of a planned program. */
struct PlannedCall
{
    /** Tool pause before the call. */
    Milliseconds pause{0};
    bool isService = false;
    bool nonIdempotent = false;
    int contentTokens = 20;
    int maxTokens = 30;
    /** Calls of a sub-agent that runs before this call; 0 for none. */
    int childCalls = 0;
};

/** A program to be run; nothing in it is known to the system beforehand. */
struct PlannedProgram
{
    Milliseconds arrival{0};
    std::string entry;
    std::string serviceClass;
    std::string name;
    std::string systemText;
    std::string model;
    std::string servicePath;
    std::vector<PlannedCall> calls;
    /** It goes on until a limit ends it. */
    bool endless = false;
    /** It calls, then never comes back and never says that it has ended. */
    bool abandoned = false;
};

/** A call that may not be repeated, and what the system said of it. */
struct OnceOnly
{
    std::string idempotencyKey;
    std::string verdict;
};

/** What came of a program. */
struct ProgramReport
{
    std::string serviceClass;
    std::string entry;
    std::string name;
    bool finished = false;
    /** Why it did not finish. */
    std::string reason;
    /** From the first call to the final answer, tool pauses included. */
    Duration latency{0};
    /** The tool pauses alone. */
    Duration pauses{0};
    std::vector<CallReport> calls;
    std::vector<OnceOnly> onceOnly;
    /** Broken promises, one line each. */
    std::vector<std::string> violations;
};

/** The bearer key that a catalogue made by this tool gives to an entry. */
std::string keyOfEntry(const std::string &entry);

/** Runs @p program and checks every answer against what it must be. */
boost::asio::awaitable<ProgramReport> runProgram(CallerClient &client, PlannedProgram program,
                                                 Milliseconds patience);

} // namespace boragepath
