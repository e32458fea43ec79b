#pragma once

#include "net/http_server.h"
#include "standin/row_table.h"

#include <boost/asio/io_context.hpp>

#include <random>

namespace boragepath {

/** Faults of the store towards all its callers; probabilities from 0 to 1. */
struct RowServerFaults
{
    enum class Outage {
        None,
        Silent, ///< Accepts calls and answers none.
        Busy, ///< Refuses all calls with status 503.
        Throttling, ///< Refuses all calls with status 429.
    };
    Outage outage = Outage::None;
    /** Writes that are applied and not answered. */
    double lostAnswers = 0;
    /**
     * Writes that are not answered, and are applied 1 to 5 seconds later if their conditions
     * still hold.
     */
    double delayedWrites = 0;
    /** Delay before each answer. */
    Milliseconds delay{0};
};

/** Simulates the platform's store: an in-memory table served over HTTP. Not thread-safe. */
class RowServer
{
public:
    RowServer(boost::asio::io_context &context, const Endpoint &endpoint, std::uint64_t seed);

    RowTable &table() { return m_table; }
    RowServerFaults &faults() { return m_faults; }

private:
    boost::asio::awaitable<void> serve(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> transact(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> feed(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> applyLater(RowTransaction transaction);
    boost::asio::awaitable<void> withholdAnswer();
    bool withProbability(double probability);

    boost::asio::io_context &m_context;
    RowTable m_table;
    RowServerFaults m_faults;
    std::mt19937_64 m_random;
    HttpServer m_server;
};

} // namespace boragepath
