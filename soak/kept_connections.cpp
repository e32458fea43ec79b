#include "soak/kept_connections.h"

#include "net/socket_peek.h"

#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <iterator>

namespace boragepath::soak {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

constexpr unsigned HttpVersion11 = 11;
constexpr std::size_t ReadBufferBytes = 16'384;
constexpr Milliseconds ConnectTimeout{1'000};
/** Four fifths of the idle time that the configuration of the soak allows. */
constexpr Milliseconds MaxIdleTime{8'000};

http::request<http::string_body> makeMessage(const HttpRequest &request, bool keepAlive)
{
    http::request<http::string_body> message;
    message.version(HttpVersion11);
    message.method_string(request.method);
    message.target(request.target);
    for (const HttpField &field : request.fields) {
        message.set(field.name, field.value);
    }
    message.keep_alive(keepAlive);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

CallEnd endOf(const beast::error_code &error)
{
    if (error == beast::error::timeout) {
        return CallEnd::CallerLeft;
    }
    const bool inOrder = error == http::error::end_of_stream
        || error == http::error::partial_message || error == asio::error::eof;
    return inOrder ? CallEnd::Closed : CallEnd::Reset;
}

/** How long the server says that it keeps an idle connection. */
Milliseconds keepAliveOf(const HttpResponse &head)
{
    std::string value = head.headerValue("Keep-Alive");
    int seconds = 0;
    if (absl::SimpleAtoi(absl::StripPrefix(value, "timeout="), &seconds)) {
        return std::min<Milliseconds>(MaxIdleTime, Seconds(seconds));
    }
    return MaxIdleTime;
}

} // namespace

struct KeptConnections::Connection
{
    Connection(const asio::any_io_executor &executor, Endpoint server)
        : stream(executor)
        , endpoint(std::move(server))
    { }

    asio::awaitable<beast::error_code> connect();
    /** Sends a message and reads its answer; @return how that ended. */
    asio::awaitable<CallEnd> exchange(const http::request<http::string_body> &message,
                                      Milliseconds idleTimeout, const HttpResponseSink &sink,
                                      const Clock &clock, SteadyTime &lastByteAt);
    asio::awaitable<CallEnd> readBody(http::response_parser<http::buffer_body> &parser,
                                      Milliseconds idleTimeout, const HttpResponseSink &sink);

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    Endpoint endpoint;
    int calls = 0;
    /** False once an answer said that the connection ends with it. */
    bool mayBeKept = true;
    Milliseconds keepAlive = MaxIdleTime;
    SteadyTime idleUntil;
};

asio::awaitable<beast::error_code> KeptConnections::Connection::connect()
{
    beast::error_code error;
    const tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
    stream.expires_after(ConnectTimeout);
    co_await stream.async_connect(address, redirect_error(use_awaitable, error));
    if (!error) {
        stream.socket().set_option(tcp::no_delay(true), error);
    }
    co_return error;
}

asio::awaitable<CallEnd>
KeptConnections::Connection::exchange(const http::request<http::string_body> &message,
                                      Milliseconds idleTimeout, const HttpResponseSink &sink,
                                      const Clock &clock, SteadyTime &lastByteAt)
{
    beast::error_code error;
    stream.expires_after(idleTimeout);
    co_await http::async_write(stream, message, redirect_error(use_awaitable, error));
    lastByteAt = clock.now();
    http::response_parser<http::buffer_body> parser;
    if (!error) {
        co_await http::async_read_header(stream, buffer, parser,
                                         redirect_error(use_awaitable, error));
    }
    if (error) {
        co_return endOf(error);
    }
    HttpResponse head;
    head.status = parser.get().result_int();
    for (const auto &field : parser.get()) {
        head.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    mayBeKept = parser.keep_alive();
    keepAlive = keepAliveOf(head);
    if (!co_await sink.onHeader(head)) {
        co_return CallEnd::CallerLeft;
    }
    co_return co_await readBody(parser, idleTimeout, sink);
}

asio::awaitable<CallEnd>
KeptConnections::Connection::readBody(http::response_parser<http::buffer_body> &parser,
                                      Milliseconds idleTimeout, const HttpResponseSink &sink)
{
    std::string chunk(ReadBufferBytes, '\0');
    while (!parser.is_done()) {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        beast::error_code error;
        stream.expires_after(idleTimeout);
        co_await http::async_read_some(stream, buffer, parser,
                                       redirect_error(use_awaitable, error));
        if (error && error != http::error::need_buffer) {
            co_return endOf(error);
        }
        const std::string data = chunk.substr(0, chunk.size() - parser.get().body().size);
        if (!data.empty() && !co_await sink.onData(data)) {
            co_return CallEnd::CallerLeft;
        }
    }
    co_return CallEnd::Answered;
}

KeptConnections::KeptConnections(const Clock &clock)
    : m_clock(clock)
{ }

KeptConnections::~KeptConnections() = default;

void KeptConnections::closeUnusable()
{
    std::erase_if(m_idle, [&](const std::shared_ptr<Connection> &connection) {
        return m_clock.now() >= connection->idleUntil
            || peek(connection->stream.socket()) != PeekResult::NoData;
    });
}

std::optional<Endpoint> KeptConnections::anyIdle(std::mt19937_64 &random)
{
    closeUnusable();
    if (m_idle.empty()) {
        return std::nullopt;
    }
    return (*std::next(m_idle.begin(), static_cast<long>(random() % m_idle.size())))->endpoint;
}

std::shared_ptr<KeptConnections::Connection> KeptConnections::takeIdle(const Endpoint &endpoint)
{
    closeUnusable();
    const auto found = std::find_if(m_idle.begin(), m_idle.end(), [&](const auto &connection) {
        return connection->endpoint == endpoint;
    });
    if (found == m_idle.end()) {
        return nullptr;
    }
    std::shared_ptr<Connection> connection = *found;
    m_idle.erase(found);
    return connection;
}

asio::awaitable<ConnectionFacts> KeptConnections::call(Endpoint endpoint, HttpRequest request,
                                                       Milliseconds idleTimeout,
                                                       HttpResponseSink sink, bool keep)
{
    ConnectionFacts facts;
    std::shared_ptr<Connection> connection = keep ? takeIdle(endpoint) : nullptr;
    if (connection == nullptr) {
        connection = std::make_shared<Connection>(co_await asio::this_coro::executor, endpoint);
        const beast::error_code error = co_await connection->connect();
        if (error) {
            facts.endedAt = m_clock.now();
            co_return facts;
        }
    }
    facts.callsBefore = connection->calls++;
    const auto message = makeMessage(request, keep);
    facts.end =
        co_await connection->exchange(message, idleTimeout, sink, m_clock, facts.lastByteAt);
    facts.endedAt = m_clock.now();
    if (keep && facts.end == CallEnd::Answered && connection->mayBeKept) {
        connection->stream.expires_never();
        connection->idleUntil = m_clock.now() + connection->keepAlive;
        m_idle.push_back(std::move(connection));
    }
    co_return facts;
}

} // namespace boragepath::soak
