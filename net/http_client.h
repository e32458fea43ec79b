#pragma once

#include "core/clock.h"
#include "core/settings.h"
#include "net/http_types.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace boragepath {

/** How a request of ours ended. */
struct HttpResult
{
    /** False only if no byte of the request can have left. */
    bool sent = false;
    /** The whole response arrived. */
    bool complete = false;
    HttpResponse response;
    std::string error;
};

/** Receives parts of a response; returning false ends the request. */
struct HttpResponseSink
{
    std::function<boost::asio::awaitable<bool>(const HttpResponse &header)> onHeader;
    std::function<boost::asio::awaitable<bool>(const std::string &data)> onData;
};

/** Sends a request on a connection of its own and reads the whole response. */
boost::asio::awaitable<HttpResult> httpCall(Endpoint endpoint, HttpRequest request,
                                            Milliseconds timeout);

/** The same over TLS; the server's certificate is not checked against its address. */
boost::asio::awaitable<HttpResult> httpsCall(Endpoint endpoint, HttpRequest request,
                                             Milliseconds timeout);

/**
 * Sends a request on a connection of its own and passes the response on as it
 * arrives. @p responseIdleTimeout is the longest wait between two parts. @p maySend,
 * if given, is asked right before the first byte leaves.
 */
boost::asio::awaitable<HttpResult> httpStream(Endpoint endpoint, HttpRequest request,
                                              Milliseconds responseIdleTimeout,
                                              HttpResponseSink sink,
                                              std::function<bool()> maySend = nullptr);

/** httpStream() over TLS. */
boost::asio::awaitable<HttpResult> httpsStream(Endpoint endpoint, HttpRequest request,
                                               Milliseconds responseIdleTimeout,
                                               HttpResponseSink sink);

/** Keeps connections to one server open between requests; for one strand. */
class HttpConnectionPool
{
public:
    explicit HttpConnectionPool(Endpoint endpoint);
    ~HttpConnectionPool();

    boost::asio::awaitable<HttpResult> call(HttpRequest request, Milliseconds timeout);

private:
    struct Connections;
    Endpoint m_endpoint;
    std::shared_ptr<Connections> m_idle;
};

} // namespace boragepath
