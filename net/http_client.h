#pragma once

#include "core/clock.h"
#include "core/settings.h"
#include "net/http_types.h"
#include "net/receive_budget.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace boragepath {

/** Outcome of a request that this process sent. */
struct HttpResult
{
    /** False only if no byte of the request can have been sent. */
    bool sent = false;
    /** True if the whole response arrived. */
    bool complete = false;
    HttpResponse response;
    /** What went wrong; empty if the response is complete. */
    std::string error;
    /** The answer was not read to its end, as this process can't hold more. */
    bool noRoom = false;
    /** Accounts for the body of the response as long as a copy of this result exists. */
    std::shared_ptr<HeldBytes> holding;
};

/** Receives a response as it arrives. A callback that returns false aborts the request. */
struct HttpResponseSink
{
    std::function<boost::asio::awaitable<bool>(const HttpResponse &header)> onHeader;
    std::function<boost::asio::awaitable<bool>(const std::string &data)> onData;
};

/**
 * Sends a request on a new connection and reads the whole response.
 *
 * @param received limits what is held of all responses that share it; null for no such limit.
 */
boost::asio::awaitable<HttpResult> httpCall(Endpoint endpoint, HttpRequest request,
                                            Milliseconds timeout,
                                            ReceiveBudget *received = nullptr);

/** httpCall() over TLS. The server's certificate is not verified against its address. */
boost::asio::awaitable<HttpResult> httpsCall(Endpoint endpoint, HttpRequest request,
                                             Milliseconds timeout);

/**
 * Sends a request on a new connection and passes the response on to @p sink as it arrives.
 *
 * @param responseIdleTimeout the longest wait between two reads of the response.
 * @param maySend if given, is called right before the first byte is sent; if it returns
 *        false, nothing is sent.
 */
boost::asio::awaitable<HttpResult> httpStream(Endpoint endpoint, HttpRequest request,
                                              Milliseconds responseIdleTimeout,
                                              HttpResponseSink sink,
                                              std::function<bool()> maySend = nullptr);

/** httpStream() over TLS. */
boost::asio::awaitable<HttpResult> httpsStream(Endpoint endpoint, HttpRequest request,
                                               Milliseconds responseIdleTimeout,
                                               HttpResponseSink sink);

/** Keeps connections to one server open for further requests. Not thread-safe: use on one strand.
 */
class HttpConnectionPool
{
public:
    /** @param received limits what is held of all responses that share it; null for no limit. */
    explicit HttpConnectionPool(Endpoint endpoint, ReceiveBudget *received = nullptr);
    ~HttpConnectionPool();

    /** Sends a request on an idle connection, or on a new one if there is none. */
    boost::asio::awaitable<HttpResult> call(HttpRequest request, Milliseconds timeout);

private:
    struct Connections;
    Endpoint m_endpoint;
    ReceiveBudget *m_received;
    std::shared_ptr<Connections> m_idle;
};

} // namespace boragepath
