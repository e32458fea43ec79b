#pragma once

#include "net/http_server.h"
#include "standin/row_table.h"

#include <boost/asio/io_context.hpp>

#include <random>

namespace boragepath {

/** How the store misbehaves towards all its callers; shares from 0 to 1. */
struct RowServerFaults
{
    enum class Outage {
        None,
        Silent, ///< Takes calls and answers none.
        Busy, ///< Refuses all calls.
        Throttling, ///< Says that calls come too fast.
    };
    Outage outage = Outage::None;
    /** Writes that are done and not answered. */
    double unanswered = 0;
    /** Writes that are not answered, and done seconds later if their conditions still hold. */
    double late = 0;
    /** Added to each answer. */
    Milliseconds delay{0};
};

/** The platform's store over HTTP, on the platform's protocol; for one thread. */
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
    boost::asio::awaitable<void> keepSilent();
    bool happens(double share);

    boost::asio::io_context &m_context;
    RowTable m_table;
    RowServerFaults m_faults;
    std::mt19937_64 m_random;
    HttpServer m_server;
};

} // namespace boragepath
