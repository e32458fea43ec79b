#pragma once

#include "core/clock.h"
#include "net/http_client.h"
#include "soak/call_facts.h"

#include <boost/asio/awaitable.hpp>

#include <list>
#include <memory>
#include <optional>
#include <random>

namespace boragepath::soak {

/** The caller's side of HTTP connections, kept open for further calls to the same VM. */
class KeptConnections
{
public:
    explicit KeptConnections(const Clock &clock);
    ~KeptConnections();
    KeptConnections(const KeptConnections &) = delete;
    KeptConnections &operator=(const KeptConnections &) = delete;

    /** The VM of any idle connection; std::nullopt if there is none. */
    std::optional<Endpoint> anyIdle(std::mt19937_64 &random);
    /**
     * Sends a request and passes the answer on to @p sink as it arrives.
     *
     * @param keep uses an idle connection if there is one, and keeps the connection afterwards
     *        unless the answer forbids it; otherwise a new connection carries this call alone.
     */
    boost::asio::awaitable<ConnectionFacts> call(Endpoint endpoint, HttpRequest request,
                                                 Milliseconds idleTimeout, HttpResponseSink sink,
                                                 bool keep);

private:
    struct Connection;

    std::shared_ptr<Connection> takeIdle(const Endpoint &endpoint);
    void closeUnusable();

    const Clock &m_clock;
    std::list<std::shared_ptr<Connection>> m_idle;
};

} // namespace boragepath::soak
