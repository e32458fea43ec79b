#pragma once

#include "core/clock.h"
#include "core/settings.h"
#include "net/http_responder.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace boragepath {

/** What a server allows one client. */
struct HttpLimits
{
    std::int64_t maxBodyBytes = 4LL * 1024 * 1024;
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::int64_t maxConnections = 4'000;
    /** Longest wait for a request, for the rest of one, or for a client to read. */
    Milliseconds idleTimeout{60'000};
};

using HttpHandler =
    std::function<boost::asio::awaitable<void>(const HttpRequest &, HttpResponder &)>;

/** Serves HTTP/1.1, with TLS if a context is given; one coroutine for each connection. */
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, HttpLimits limits, HttpHandler handler);

    /** Listens on @p endpoint; throws if it cannot. */
    void listen(const Endpoint &endpoint);
    void setTlsContext(std::shared_ptr<boost::asio::ssl::context> tls) { m_tls = std::move(tls); }
    /** Takes no new connections. */
    void stopListening();
    /** Requests that are being answered. */
    std::int64_t requestsInFlight() const { return *m_requests; }

private:
    boost::asio::awaitable<void> accept(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor);

    boost::asio::io_context &m_context;
    HttpLimits m_limits;
    HttpHandler m_handler;
    std::shared_ptr<boost::asio::ssl::context> m_tls;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::shared_ptr<std::atomic<std::int64_t>> m_connections =
        std::make_shared<std::atomic<std::int64_t>>(0);
    std::shared_ptr<std::atomic<std::int64_t>> m_requests =
        std::make_shared<std::atomic<std::int64_t>>(0);
};

} // namespace boragepath
