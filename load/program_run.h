#pragma once

#include "load/caller_client.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace boragepath {

/** One call of a planned program. */
struct PlannedCall
{
    /** Tool pause before the call. */
    Milliseconds pause{0};
    bool isService = false;
    bool nonIdempotent = false;
    int contentTokens = 20;
    int maxTokens = 30;
    /** Number of calls of a sub-agent that runs before this call; 0 for no sub-agent. */
    int subAgentCalls = 0;
};

/** A program to run; the scheduler learns of each call only when the call arrives. */
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
    /** The calls repeat until a limit of the scheduler ends the program. */
    bool endless = false;
    /** The program makes its calls but marks none as the last and never ends itself. */
    bool abandoned = false;
};

/** A call that is not idempotent, and the verdict of the scheduler on it. */
struct NonIdempotentCall
{
    std::string idempotencyKey;
    std::string verdict;
};

/** Result of a program. */
struct ProgramReport
{
    std::string serviceClass;
    std::string entry;
    std::string name;
    bool finished = false;
    /** Reason why the program did not finish. */
    std::string reason;
    /** From the first call to the final answer, tool pauses included. */
    Duration latency{0};
    /** Sum of the tool pauses. */
    Duration pauses{0};
    std::vector<CallReport> calls;
    std::vector<NonIdempotentCall> nonIdempotentCalls;
    /** Violated guarantees, one line each. */
    std::vector<std::string> violations;
};

/** Returns the bearer key that catalogueJson() gives to an entry. */
std::string bearerKeyFor(const std::string &entry);

/** Runs @p program and compares every answer with the one that the stand-in must give. */
boost::asio::awaitable<ProgramReport> runProgram(CallerClient &client, PlannedProgram program,
                                                 Milliseconds timeout);

} // namespace boragepath
