#pragma once

#include "core/clock.h"
#include "core/settings.h"
#include "net/http_types.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace boragepath {

/** A single call of a program: a model call, or a call of a service. */
struct CallSpec
{
    std::string entry;
    std::string key;
    std::string program;
    std::string parent;
    int number = 1;
    bool last = false;
    /** Empty for a model call; otherwise the path of a service that is not a model. */
    std::string servicePath;
    std::string idempotencyKey;
    /** Text of the new user message of a model call, or request body of a service call. */
    std::string content;
    /** System message, sent with the first call of a program; may be empty. */
    std::string systemText;
    std::string model;
    int maxTokens = 16;
};

/** Result of a call after all its attempts. */
struct CallReport
{
    /** True if the last attempt got a complete answer with a verdict of the scheduler. */
    bool answered = false;
    unsigned status = 0;
    std::string verdict;
    std::string reason;
    std::string answer;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    /** Number that the scheduler expects of the next call. */
    int nextCall = 0;
    /** True if the answer came from the record of an earlier attempt. */
    bool replayed = false;
    int attempts = 0;
    /** Time from the first attempt to the end of the last, pauses included. */
    Duration duration{0};
    std::int64_t endedUnixMillis = 0;
    /** Time to the first chunk of a streamed answer, within the last attempt. */
    Duration firstToken{0};
    /** Longest time between two chunks of a streamed answer. */
    Duration longestGap{0};
    Milliseconds retryAfter{0};
};

/**
 * Client of the scheduler: looks up the daemon of a program, caches the
 * addresses for their time to live, and retries as the verdicts allow.
 */
class CallerClient
{
public:
    /**
     * @p seeds are the daemon addresses configured on the client; one of them, drawn with
     * @p seed, is asked for the addresses of a program.
     */
    CallerClient(std::vector<Endpoint> seeds, std::uint64_t seed);

    /** Sends a call, with retries, until it has a final answer or @p timeout has passed. */
    boost::asio::awaitable<CallReport> call(CallSpec spec, Milliseconds timeout);
    /** Ends a program; false if the daemon did not confirm it. */
    boost::asio::awaitable<bool> end(CallSpec spec);

private:
    struct CachedAddresses
    {
        std::vector<Endpoint> endpoints;
        SteadyTime until;
    };

    boost::asio::awaitable<Endpoint> resolveAddress(const CallSpec &spec, int attempt);
    boost::asio::awaitable<CallReport> callOnce(const CallSpec &spec, Endpoint endpoint);

    std::vector<Endpoint> m_seeds;
    std::mt19937_64 m_random;
    std::map<std::string, CachedAddresses> m_addressCache;
};

/** Returns the HTTP request of a call. */
HttpRequest buildRequest(const CallSpec &spec);

} // namespace boragepath
