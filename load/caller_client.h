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

/** One call as a program makes it. */
struct CallSpec
{
    std::string entry;
    std::string key;
    std::string program;
    std::string parent;
    int number = 1;
    bool last = false;
    /** Empty for a model call; otherwise the path of a plain service. */
    std::string servicePath;
    std::string idempotencyKey;
    /** The text of the new user message, or the body for a service. */
    std::string content;
    /** System message of the first call; may be empty. */
    std::string systemText;
    std::string model;
    int maxTokens = 16;
};

/** What came of a call. */
struct CallReport
{
    bool answered = false;
    unsigned status = 0;
    std::string verdict;
    std::string reason;
    std::string answer;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    int nextCall = 0;
    bool replayed = false;
    int attempts = 0;
    Duration duration{0};
    std::int64_t endedUnixMillis = 0;
    Duration firstToken{0};
    Duration longestGap{0};
    Milliseconds retryAfter{0};
};

/** A caller: asks for addresses, keeps them, connects, and retries as the verdicts allow. */
class CallerClient
{
public:
    /** @p seeds are the addresses that a caller knows from the start. */
    CallerClient(std::vector<Endpoint> seeds, std::uint64_t seed);

    /** Makes a call until it has a final answer or @p patience has passed. */
    boost::asio::awaitable<CallReport> call(CallSpec spec, Milliseconds patience);
    /** Ends a program. */
    boost::asio::awaitable<bool> end(CallSpec spec);

private:
    struct Known
    {
        std::vector<Endpoint> endpoints;
        SteadyTime until;
    };

    boost::asio::awaitable<Endpoint> addressFor(const CallSpec &spec, int attempt);
    boost::asio::awaitable<CallReport> callOnce(const CallSpec &spec, Endpoint endpoint);

    std::vector<Endpoint> m_seeds;
    std::mt19937_64 m_random;
    std::map<std::string, Known> m_known;
};

/** The HTTP request of a call. */
HttpRequest requestOf(const CallSpec &spec);

} // namespace boragepath
