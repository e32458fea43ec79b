#pragma once

#include "core/clock.h"
#include "core/settings.h"
#include "net/http_responder.h"
#include "net/receive_budget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include <functional>
#include <memory>

namespace boragepath {

/** Limits of a server. Sizes and the timeout apply to each connection. */
struct HttpLimits
{
    std::int64_t maxBodyBytes = 4LL * 1024 * 1024;
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::int64_t maxConnections = 4'000;
    /** Longest wait for a request, for the rest of a request, or for a client to read. */
    Milliseconds idleTimeout{60'000};
    /** Limits what is held of the bodies of all requests together; null for no such limit. */
    ReceiveBudget *received = nullptr;
};

using HttpHandler =
    std::function<boost::asio::awaitable<void>(const HttpRequest &, HttpResponder &)>;

/** Serves HTTP/1.1, over TLS if a context is set, with one coroutine for each connection. */
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, HttpLimits limits, HttpHandler handler);

    /** Listens on @p endpoint; throws boost::system::system_error on failure. */
    void listen(const Endpoint &endpoint);
    void setTlsContext(std::shared_ptr<boost::asio::ssl::context> tls) { m_tls = std::move(tls); }
    /** From now on each connection is closed after its current response. */
    void drain();
    /**
     * Stops accepting connections and closes those that are idle. Requests that are read from now
     * on get @p refusal; those that were read before are still served. To be called once.
     */
    void close(const HttpResponse &refusal);
    /** True once no connection is left after close(). */
    bool isClosed() const;
    /** Number of requests that are being answered. */
    std::int64_t requestsInFlight() const;

    /** State that the server shares with its connections; lives as long as any of them. */
    struct Shared;

private:
    boost::asio::awaitable<void> accept(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor);
    void stopListening();

    boost::asio::io_context &m_context;
    HttpLimits m_limits;
    HttpHandler m_handler;
    std::shared_ptr<boost::asio::ssl::context> m_tls;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::shared_ptr<Shared> m_shared;
};

} // namespace boragepath
