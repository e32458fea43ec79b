#pragma once

#include "core/clock.h"
#include "core/endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace boragepath::soak {

/** How a call ended, as its caller saw it on the connection. */
enum class CallEnd {
    Answered, ///< The whole answer arrived.
    NotConnected, ///< No connection was established.
    CallerLeft, ///< The caller broke off, or its own time was over.
    /** The VM closed in order, so that it had taken in all bytes that had reached it. */
    Closed,
    /** The connection was reset, as it is if bytes of the request had not been read. */
    Reset,
};

/** What a caller knows of the connection that carried its call. */
struct ConnectionFacts
{
    CallEnd end = CallEnd::NotConnected;
    SteadyTime lastByteAt;
    SteadyTime endedAt;
    /** Calls that the connection had carried before. */
    int callsBefore = 0;
};

/** A run of a call at a replica. */
struct RunFacts
{
    std::string replica;
    SteadyTime startedAt;
    /** Not set while the replica is at work. */
    std::optional<SteadyTime> endedAt;
    /** It ended because the replica broke off. */
    bool brokeOff = false;
};

/** What callers and replicas know of one try of a call. */
struct CallFacts
{
    std::string id;
    /** The first try of the same call; its own id if it is the first. */
    std::string firstTry;
    Endpoint front;
    SteadyTime sentAt;
    unsigned status = 0;
    ConnectionFacts connection;
    std::vector<RunFacts> runs;
    /** A turn whose conversation is stored. */
    bool isStoredTurn = false;
    std::string previousTurn;
    std::string program;
    std::int64_t budget = 0;
    /** Upper bound of the tokens of this call; 0 if it is no turn. */
    std::int64_t maxTokens = 0;
    std::int64_t tokens = 0;
    /** The turn was answered whole. */
    bool isWhole = false;
};

} // namespace boragepath::soak
