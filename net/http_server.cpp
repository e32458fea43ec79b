#include "net/http_server.h"

#include "net/beast_messages.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <optional>
#include <set>

namespace boragepath {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;

constexpr unsigned HttpVersion11 = 11;
constexpr unsigned BadRequest = 400;
constexpr unsigned PayloadTooLarge = 413;
constexpr unsigned ServiceUnavailable = 503;
constexpr Milliseconds AcceptRetryDelay{10};
/** While the server closes, the rest of a request that is being read must come within this time. */
constexpr Milliseconds ClosingReadTimeout{200};
/** After its last answer a connection is read for this long, until the client closes it: unread
 * bytes would make the system reset the connection, and the client would lose the answer. */
constexpr Milliseconds LingerTimeout{300};
constexpr std::size_t MaxLingerBytes = 65'536;
constexpr std::size_t LingerReadSize = 4'096;

/** Cancels the read of a connection's next request; used on the connection's executor. */
struct RequestReader
{
    asio::any_io_executor executor;
    /** Set while the connection waits for a request or reads one. */
    std::function<void()> cancel;
};

} // namespace

struct HttpServer::Shared
{
    std::atomic<std::int64_t> connections = 0;
    std::atomic<std::int64_t> requests = 0;
    std::atomic<bool> draining = false;
    std::atomic<bool> closing = false;
    /** Response to requests that are read while the server closes; set before `closing`. */
    HttpResponse refusal;
    std::mutex readersMutex;
    std::set<std::shared_ptr<RequestReader>> readers;
};

namespace {

using SharedState = std::shared_ptr<HttpServer::Shared>;

http::response<http::string_body> makeResponse(const HttpResponse &response, bool keepAlive)
{
    http::response<http::string_body> result;
    result.version(HttpVersion11);
    result.result(response.status);
    for (const HttpField &field : response.fields) {
        result.set(field.name, field.value);
    }
    result.keep_alive(keepAlive);
    result.body() = response.body;
    result.prepare_payload();
    return result;
}

/** Writes the answer to one request to a plain or a TLS stream. */
template <typename Stream> class StreamResponder final : public HttpResponder
{
public:
    StreamResponder(Stream &stream, Milliseconds limit, bool keepAlive,
                    const std::atomic<bool> &draining)
        : m_stream(stream)
        , m_writeTimeout(limit)
        , m_keepAlive(keepAlive)
        , m_draining(draining)
    { }

    asio::awaitable<bool> send(const HttpResponse &response) override
    {
        beast::get_lowest_layer(m_stream).expires_after(m_writeTimeout);
        const auto message = makeResponse(response, decideKeepAlive());
        beast::error_code error;
        co_await http::async_write(m_stream, message, redirect_error(use_awaitable, error));
        co_return updateConnectionState(error);
    }

    asio::awaitable<bool> beginStream(const HttpResponse &header) override
    {
        m_streaming = true;
        beast::get_lowest_layer(m_stream).expires_after(m_writeTimeout);
        http::response<http::empty_body> message;
        message.version(HttpVersion11);
        message.result(header.status);
        for (const HttpField &field : header.fields) {
            message.set(field.name, field.value);
        }
        message.keep_alive(decideKeepAlive());
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        beast::error_code error;
        co_await http::async_write_header(m_stream, serializer,
                                          redirect_error(use_awaitable, error));
        co_return updateConnectionState(error);
    }

    asio::awaitable<bool> sendChunk(const std::string &data) override
    {
        if (m_connectionLost || data.empty()) {
            co_return !m_connectionLost;
        }
        beast::get_lowest_layer(m_stream).expires_after(m_writeTimeout);
        beast::error_code error;
        co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(data)),
                                   redirect_error(use_awaitable, error));
        co_return updateConnectionState(error);
    }

    asio::awaitable<bool> endStream() override
    {
        if (m_connectionLost) {
            co_return false;
        }
        beast::error_code error;
        co_await asio::async_write(m_stream, http::make_chunk_last(),
                                   redirect_error(use_awaitable, error));
        co_return updateConnectionState(error);
    }

    void breakOff() override { m_connectionLost = true; }
    bool streaming() const override { return m_streaming; }
    /** The connection can serve another request. */
    bool reusable() const { return !m_connectionLost && m_keepAlive; }

private:
    /** Decides whether the connection is kept after this response. */
    bool decideKeepAlive()
    {
        m_keepAlive = m_keepAlive && !m_draining;
        return m_keepAlive;
    }

    bool updateConnectionState(const beast::error_code &error)
    {
        m_connectionLost = m_connectionLost || error;
        return !m_connectionLost;
    }

    Stream &m_stream;
    Milliseconds m_writeTimeout;
    bool m_keepAlive;
    const std::atomic<bool> &m_draining;
    bool m_streaming = false;
    bool m_connectionLost = false;
};

/** Increments a counter for its own lifetime. */
class ScopedCounter
{
public:
    explicit ScopedCounter(std::atomic<std::int64_t> &count)
        : m_count(count)
    {
        m_count += 1;
    }
    ScopedCounter(const ScopedCounter &) = delete;
    ScopedCounter &operator=(const ScopedCounter &) = delete;
    ~ScopedCounter() { m_count -= 1; }

private:
    std::atomic<std::int64_t> &m_count;
};

/** Counts a connection and makes its reads known to the server, for its own lifetime. */
class ConnectionEntry
{
public:
    ConnectionEntry(SharedState shared, asio::any_io_executor executor)
        : m_shared(std::move(shared))
        , m_reader(std::make_shared<RequestReader>(RequestReader{std::move(executor), nullptr}))
    {
        m_shared->connections += 1;
        const std::lock_guard lock(m_shared->readersMutex);
        m_shared->readers.insert(m_reader);
    }
    ConnectionEntry(const ConnectionEntry &) = delete;
    ConnectionEntry &operator=(const ConnectionEntry &) = delete;
    ~ConnectionEntry()
    {
        m_reader->cancel = nullptr;
        {
            const std::lock_guard lock(m_shared->readersMutex);
            m_shared->readers.erase(m_reader);
        }
        m_shared->connections -= 1;
    }

    RequestReader &reader() { return *m_reader; }

private:
    SharedState m_shared;
    std::shared_ptr<RequestReader> m_reader;
};

/** The status for a request that could not be read. */
unsigned readErrorStatus(const beast::error_code &error)
{
    if (error == http::error::body_limit) {
        return PayloadTooLarge;
    }
    return error == http::error::buffer_overflow ? ServiceUnavailable : BadRequest;
}

template <typename Stream>
asio::awaitable<void> rejectRequest(Stream &stream, const HttpLimits &limits,
                                    const beast::error_code &error, const SharedState &shared)
{
    HttpResponse response;
    response.status = readErrorStatus(error);
    response.fields.push_back({"Content-Type", "application/json"});
    response.fields.push_back({"Boragepath-Verdict", "not-run"});
    response.body = R"({"error":{"type":"bad-request","message":")" + error.message()
        + R"("},"boragepath":{"verdict":"not-run"}})";
    if (shared->closing && error == asio::error::operation_aborted) {
        response = shared->refusal;
    }
    StreamResponder<Stream> responder(stream, limits.idleTimeout, false, shared->draining);
    co_await responder.send(response);
}

using RequestParser = http::request_parser<http::string_body>;

/** Reads a request; buffer_overflow if the process can't hold its body beside all others. */
template <typename Stream>
asio::awaitable<beast::error_code> readRequest(Stream &stream, beast::flat_buffer &buffer,
                                               RequestParser &parser, HeldBytes *held)
{
    beast::error_code error;
    co_await http::async_read_header(stream, buffer, parser, redirect_error(use_awaitable, error));
    while (!error && !parser.is_done()) {
        co_await http::async_read_some(stream, buffer, parser,
                                       redirect_error(use_awaitable, error));
        if (held != nullptr && !held->resize(parser.get().body().size())) {
            error = http::error::buffer_overflow;
        }
    }
    co_return error;
}

template <typename Stream>
asio::awaitable<void> serveRequests(Stream &stream, HttpLimits limits, HttpHandler handler,
                                    SharedState shared, RequestReader &reader)
{
    beast::flat_buffer buffer;
    bool reusable = true;
    while (reusable) {
        RequestParser parser;
        parser.body_limit(static_cast<std::uint64_t>(limits.maxBodyBytes));
        parser.header_limit(limits.maxHeaderBytes);
        const Milliseconds readTimeout =
            shared->closing ? std::min(limits.idleTimeout, ClosingReadTimeout) : limits.idleTimeout;
        beast::get_lowest_layer(stream).expires_after(readTimeout);
        std::optional<HeldBytes> held;
        if (limits.received != nullptr) {
            held.emplace(*limits.received);
        }
        reader.cancel = [&stream] { beast::get_lowest_layer(stream).cancel(); };
        const beast::error_code error =
            co_await readRequest(stream, buffer, parser, held.has_value() ? &*held : nullptr);
        reader.cancel = nullptr;
        const bool nothingRead = !parser.got_some() && buffer.size() == 0;
        if (error == http::error::end_of_stream || error == beast::error::timeout
            || (error == asio::error::operation_aborted && nothingRead)) {
            co_return;
        }
        if (error) {
            co_await rejectRequest(stream, limits, error, shared);
            co_return;
        }
        const ScopedCounter activeRequest(shared->requests);
        beast::get_lowest_layer(stream).expires_never();
        const http::request<http::string_body> message = parser.release();
        StreamResponder<Stream> responder(stream, limits.idleTimeout, message.keep_alive(),
                                          shared->draining);
        if (shared->closing) {
            co_await responder.send(shared->refusal);
            co_return;
        }
        HttpRequest request = requestHead(message);
        request.body = message.body();
        co_await handler(request, responder);
        reusable = responder.reusable();
    }
}

/** Lets the client receive what was sent before the connection is closed. */
asio::awaitable<void> closeGracefully(beast::tcp_stream &stream)
{
    beast::error_code error;
    stream.socket().shutdown(tcp::socket::shutdown_send, error);
    stream.expires_after(LingerTimeout);
    std::array<char, LingerReadSize> discarded{};
    std::size_t discardedBytes = 0;
    while (!error && discardedBytes < MaxLingerBytes) {
        discardedBytes += co_await stream.async_read_some(asio::buffer(discarded),
                                                          redirect_error(use_awaitable, error));
    }
}

asio::awaitable<void> serveConnection(tcp::socket socket, HttpLimits limits, HttpHandler handler,
                                      std::shared_ptr<asio::ssl::context> tls, SharedState shared)
{
    ConnectionEntry entry(shared, socket.get_executor());
    beast::error_code error;
    socket.set_option(tcp::no_delay(true), error);
    if (tls == nullptr) {
        beast::tcp_stream stream(std::move(socket));
        co_await serveRequests(stream, limits, std::move(handler), shared, entry.reader());
        co_await closeGracefully(stream);
        co_return;
    }
    beast::ssl_stream<beast::tcp_stream> stream(beast::tcp_stream(std::move(socket)), *tls);
    beast::get_lowest_layer(stream).expires_after(limits.idleTimeout);
    entry.reader().cancel = [&stream] { beast::get_lowest_layer(stream).cancel(); };
    co_await stream.async_handshake(asio::ssl::stream_base::server,
                                    redirect_error(use_awaitable, error));
    entry.reader().cancel = nullptr;
    if (error) {
        co_return;
    }
    co_await serveRequests(stream, limits, std::move(handler), shared, entry.reader());
    beast::get_lowest_layer(stream).expires_after(
        shared->closing ? std::min(limits.idleTimeout, LingerTimeout) : limits.idleTimeout);
    co_await stream.async_shutdown(redirect_error(use_awaitable, error));
}

} // namespace

HttpServer::HttpServer(asio::io_context &context, HttpLimits limits, HttpHandler handler)
    : m_context(context)
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_shared(std::make_shared<Shared>())
{ }

std::int64_t HttpServer::requestsInFlight() const
{
    return m_shared->requests;
}

bool HttpServer::isClosed() const
{
    return m_shared->closing && m_shared->connections == 0;
}

void HttpServer::drain()
{
    m_shared->draining = true;
}

void HttpServer::close(const HttpResponse &refusal)
{
    m_shared->refusal = refusal;
    m_shared->draining = true;
    m_shared->closing = true;
    stopListening();
    const auto timer = std::make_shared<asio::steady_timer>(m_context, ClosingReadTimeout);
    timer->async_wait([timer, shared = m_shared](const beast::error_code &) {
        const std::lock_guard lock(shared->readersMutex);
        for (const std::shared_ptr<RequestReader> &reader : shared->readers) {
            asio::post(reader->executor, [reader] {
                if (reader->cancel) {
                    reader->cancel();
                }
            });
        }
    });
}

void HttpServer::listen(const Endpoint &endpoint)
{
    const tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
    m_acceptor = std::make_shared<tcp::acceptor>(m_context);
    m_acceptor->open(address.protocol());
    m_acceptor->set_option(asio::socket_base::reuse_address(true));
    m_acceptor->bind(address);
    m_acceptor->listen();
    asio::co_spawn(m_context, accept(m_acceptor), asio::detached);
}

void HttpServer::stopListening()
{
    if (m_acceptor != nullptr) {
        asio::post(m_acceptor->get_executor(), [acceptor = m_acceptor] {
            beast::error_code error;
            acceptor->close(error);
        });
    }
}

asio::awaitable<void> HttpServer::accept(std::shared_ptr<tcp::acceptor> acceptor)
{
    while (acceptor->is_open()) {
        beast::error_code error;
        tcp::socket socket = co_await acceptor->async_accept(asio::make_strand(m_context),
                                                             redirect_error(use_awaitable, error));
        if (!acceptor->is_open()) {
            co_return;
        }
        if (error) {
            // Usually the process is out of file descriptors: wait until connections end.
            asio::steady_timer pause(m_context, AcceptRetryDelay);
            co_await pause.async_wait(redirect_error(use_awaitable, error));
            continue;
        }
        if (m_shared->connections >= m_limits.maxConnections) {
            continue;
        }
        auto executor = socket.get_executor();
        asio::co_spawn(executor,
                       serveConnection(std::move(socket), m_limits, m_handler, m_tls, m_shared),
                       asio::detached);
    }
}

} // namespace boragepath
