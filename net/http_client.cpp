#include "net/http_client.h"

#include "net/response_head.h"
#include "net/socket_peek.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>

namespace boragepath {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

constexpr unsigned HttpVersion11 = 11;
constexpr Milliseconds MaxConnectTimeout{1'000};
constexpr std::size_t ReadBufferBytes = 16'384;
constexpr std::size_t MaxIdleConnections = 16;
/** Longest body of a whole answer; twice the largest object that the platform's store keeps. */
constexpr std::uint64_t MaxBodyBytes = 16UL * 1024 * 1024;
/** Longest body of an answer that is passed on as it arrives. */
constexpr std::uint64_t MaxStreamBytes = 16UL * 1024 * 1024;
/** What is read and not yet parsed: a head, or the extension of a chunk. */
constexpr std::size_t MaxUnparsedBytes = 65'536;

http::request<http::string_body> makeMessage(const Endpoint &endpoint, const HttpRequest &request,
                                             bool keepAlive)
{
    http::request<http::string_body> message;
    message.version(HttpVersion11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, endpoint.text());
    for (const HttpField &field : request.fields) {
        message.set(field.name, field.value);
    }
    message.keep_alive(keepAlive);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

template <typename Message> HttpResponse responseHead(const Message &message)
{
    HttpResponse header;
    header.status = message.result_int();
    for (const auto &field : message) {
        header.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return header;
}

asio::awaitable<bool> connectStream(beast::tcp_stream &stream, const Endpoint &endpoint,
                                    Milliseconds limit, HttpResult &result)
{
    beast::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    stream.expires_after(std::min(limit, MaxConnectTimeout));
    if (!error) {
        co_await stream.async_connect(tcp::endpoint(address, endpoint.port),
                                      redirect_error(use_awaitable, error));
    }
    if (error) {
        result.error = "connect: " + error.message();
        co_return false;
    }
    stream.socket().set_option(tcp::no_delay(true), error);
    co_return true;
}

/** Appends the next part of a body to @p body, which is not accounted for yet. */
template <typename Stream>
asio::awaitable<beast::error_code> readPart(Stream &stream, beast::flat_buffer &buffer,
                                            ResponseParser &parser, std::string &body)
{
    const std::size_t before = body.size();
    body.resize(before + ReadBufferBytes);
    parser.get().body().data = body.data() + before;
    parser.get().body().size = ReadBufferBytes;
    beast::error_code error;
    co_await http::async_read_some(stream, buffer, parser, redirect_error(use_awaitable, error));
    body.resize(before + ReadBufferBytes - parser.get().body().size);
    co_return error == http::error::need_buffer ? beast::error_code() : error;
}

template <typename Stream>
asio::awaitable<void>
sendAndReceive(Stream &stream, const http::request<http::string_body> &message,
               Milliseconds timeout, ReceiveBudget *received, HttpResult &result)
{
    beast::error_code error;
    beast::get_lowest_layer(stream).expires_after(timeout);
    result.sent = true;
    co_await http::async_write(stream, message, redirect_error(use_awaitable, error));
    if (error) {
        result.error = "write: " + error.message();
        co_return;
    }
    beast::flat_buffer buffer{MaxUnparsedBytes};
    std::optional<ResponseParser> parser;
    const ResponseLimits limits{.body = MaxBodyBytes};
    error = co_await readResponseHead(stream, buffer, parser, limits);
    if (received != nullptr) {
        result.holding = std::make_shared<HeldBytes>(*received);
    }
    std::string body;
    while (!error && !parser->is_done()) {
        error = co_await readPart(stream, buffer, *parser, body);
        if (result.holding != nullptr && !result.holding->resize(body.size())) {
            result.noRoom = true;
            result.error = "no room for the answer";
            result.holding.reset();
            co_return;
        }
    }
    if (error) {
        result.error = "read: " + error.message();
        co_return;
    }
    result.response = responseHead(parser->get());
    result.response.body = std::move(body);
    result.complete = true;
}

/** Sends @p message and passes the response on to @p sink as it arrives. */
template <typename Stream>
asio::awaitable<void> sendAndStream(Stream &stream, const http::request<http::string_body> &message,
                                    Milliseconds responseIdleTimeout, const HttpResponseSink &sink,
                                    HttpResult &result)
{
    beast::error_code error;
    beast::tcp_stream &lowest = beast::get_lowest_layer(stream);
    lowest.expires_after(responseIdleTimeout);
    result.sent = true;
    co_await http::async_write(stream, message, redirect_error(use_awaitable, error));
    if (error) {
        result.error = "write: " + error.message();
        co_return;
    }
    beast::flat_buffer buffer{MaxUnparsedBytes};
    std::optional<ResponseParser> parser;
    const ResponseLimits limits{.body = MaxStreamBytes};
    lowest.expires_after(responseIdleTimeout);
    error = co_await readResponseHead(stream, buffer, parser, limits);
    if (error) {
        result.error = "read: " + error.message();
        co_return;
    }
    result.response = responseHead(parser->get());
    if (sink.onHeader && !co_await sink.onHeader(result.response)) {
        result.error = "ended by the receiver";
        co_return;
    }
    std::string chunk(ReadBufferBytes, '\0');
    while (!parser->is_done()) {
        parser->get().body().data = chunk.data();
        parser->get().body().size = chunk.size();
        lowest.expires_after(responseIdleTimeout);
        co_await http::async_read_some(stream, buffer, *parser,
                                       redirect_error(use_awaitable, error));
        if (error && error != http::error::need_buffer) {
            result.error = "read: " + error.message();
            co_return;
        }
        const std::size_t size = chunk.size() - parser->get().body().size;
        const std::string data = chunk.substr(0, size);
        if (size > 0 && !co_await sink.onData(data)) {
            result.error = "ended by the receiver";
            co_return;
        }
    }
    result.complete = true;
}

asio::awaitable<bool> connectTls(beast::ssl_stream<beast::tcp_stream> &stream,
                                 const Endpoint &endpoint, Milliseconds limit, HttpResult &result)
{
    if (!co_await connectStream(beast::get_lowest_layer(stream), endpoint, limit, result)) {
        co_return false;
    }
    beast::error_code error;
    co_await stream.async_handshake(asio::ssl::stream_base::client,
                                    redirect_error(use_awaitable, error));
    if (error) {
        result.error = "TLS: " + error.message();
    }
    co_return !error;
}

} // namespace

asio::awaitable<HttpResult> httpCall(Endpoint endpoint, HttpRequest request, Milliseconds timeout,
                                     ReceiveBudget *received)
{
    HttpResult result;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    if (!co_await connectStream(stream, endpoint, timeout, result)) {
        co_return result;
    }
    const auto message = makeMessage(endpoint, request, false);
    co_await sendAndReceive(stream, message, timeout, received, result);
    co_return result;
}

asio::awaitable<HttpResult> httpsCall(Endpoint endpoint, HttpRequest request, Milliseconds timeout)
{
    HttpResult result;
    asio::ssl::context context(asio::ssl::context::tls_client);
    beast::ssl_stream<beast::tcp_stream> stream(co_await asio::this_coro::executor, context);
    if (!co_await connectTls(stream, endpoint, timeout, result)) {
        co_return result;
    }
    const auto message = makeMessage(endpoint, request, false);
    co_await sendAndReceive(stream, message, timeout, nullptr, result);
    co_return result;
}

asio::awaitable<HttpResult> httpStream(Endpoint endpoint, HttpRequest request,
                                       Milliseconds responseIdleTimeout, HttpResponseSink sink,
                                       std::function<bool()> maySend)
{
    HttpResult result;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    if (!co_await connectStream(stream, endpoint, responseIdleTimeout, result)) {
        co_return result;
    }
    if (maySend && !maySend()) {
        result.error = "too late to send";
        co_return result;
    }
    const auto message = makeMessage(endpoint, request, false);
    co_await sendAndStream(stream, message, responseIdleTimeout, sink, result);
    co_return result;
}

asio::awaitable<HttpResult> httpsStream(Endpoint endpoint, HttpRequest request,
                                        Milliseconds responseIdleTimeout, HttpResponseSink sink)
{
    HttpResult result;
    asio::ssl::context context(asio::ssl::context::tls_client);
    beast::ssl_stream<beast::tcp_stream> stream(co_await asio::this_coro::executor, context);
    if (!co_await connectTls(stream, endpoint, responseIdleTimeout, result)) {
        co_return result;
    }
    const auto message = makeMessage(endpoint, request, false);
    co_await sendAndStream(stream, message, responseIdleTimeout, sink, result);
    co_return result;
}

struct HttpConnectionPool::Connections
{
    std::vector<std::unique_ptr<beast::tcp_stream>> idle;
};

HttpConnectionPool::HttpConnectionPool(Endpoint endpoint, ReceiveBudget *received)
    : m_endpoint(std::move(endpoint))
    , m_received(received)
    , m_idle(std::make_shared<Connections>())
{ }

HttpConnectionPool::~HttpConnectionPool() = default;

asio::awaitable<HttpResult> HttpConnectionPool::call(HttpRequest request, Milliseconds timeout)
{
    HttpResult result;
    const std::shared_ptr<Connections> connections = m_idle;
    const auto message = makeMessage(m_endpoint, request, true);
    std::unique_ptr<beast::tcp_stream> stream;
    while (stream == nullptr && !connections->idle.empty()) {
        // A connection is unusable if the server has closed it or has sent unrequested bytes.
        if (peek(connections->idle.back()->socket()) == PeekResult::NoData) {
            stream = std::move(connections->idle.back());
        }
        connections->idle.pop_back();
    }
    if (stream == nullptr) {
        stream = std::make_unique<beast::tcp_stream>(co_await asio::this_coro::executor);
        if (!co_await connectStream(*stream, m_endpoint, timeout, result)) {
            co_return result;
        }
    }
    co_await sendAndReceive(*stream, message, timeout, m_received, result);
    if (!result.complete) {
        // A fault that made this connection fail may affect the idle connections as well.
        connections->idle.clear();
    }
    const bool reusable = result.complete && result.response.headerValue("Connection") != "close";
    if (reusable && connections->idle.size() < MaxIdleConnections) {
        stream->expires_never();
        connections->idle.push_back(std::move(stream));
    }
    co_return result;
}

} // namespace boragepath
