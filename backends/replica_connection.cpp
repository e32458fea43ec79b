#include "backends/replica_connection.h"

#include "net/response_head.h"
#include "net/socket_peek.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <limits>
#include <optional>

namespace boragepath {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::redirect_error;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

/** Bytes per read; an event of a stream has a few hundred bytes. */
constexpr std::size_t ReadSize = 8'192;
/** If sent bytes stay unacknowledged this long, the server is gone or unreachable. */
constexpr int AcknowledgementTimeoutMillis = 2'000;
/** Longest head of an answer. */
constexpr std::uint32_t MaxHeadBytes = 16'384;
/** What is read and not yet parsed: a head, or the extension of a chunk. */
constexpr std::size_t MaxUnparsedBytes = 20'480;
/** Idle connections kept per server. */
constexpr std::size_t MaxIdleConnections = 6;

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

struct ReplicaConnection::State
{
    explicit State(const asio::any_io_executor &executor)
        : stream(executor)
    { }

    beast::tcp_stream stream;
    beast::flat_buffer buffer{MaxUnparsedBytes};
    std::optional<ResponseParser> parser;
};

ReplicaConnection::ReplicaConnection(const asio::any_io_executor &executor, const Clock &clock)
    : m_clock(clock)
    , m_state(std::make_unique<State>(executor))
{ }

ReplicaConnection::~ReplicaConnection() = default;

asio::awaitable<ConnectResult> ReplicaConnection::connect(const Endpoint &endpoint,
                                                          Milliseconds limit)
{
    beast::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        co_return ConnectResult::Failed;
    }
    beast::tcp_stream &stream = m_state->stream;
    stream.expires_after(limit);
    const tcp::endpoint target(address, endpoint.port);
    co_await stream.async_connect(target, redirect_error(use_awaitable, error));
    if (error) {
        co_return error == asio::error::connection_refused ? ConnectResult::Refused
                                                           : ConnectResult::Failed;
    }
    beast::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    stream.socket().set_option(UserTimeout(AcknowledgementTimeoutMillis), ignored);
    co_return ConnectResult::Connected;
}

asio::awaitable<bool> ReplicaConnection::send(const std::string &head,
                                              const std::vector<const std::string *> &body,
                                              SteadyTime until)
{
    std::vector<asio::const_buffer> buffers{asio::buffer(head)};
    for (const std::string *part : body) {
        buffers.push_back(asio::buffer(*part));
    }
    beast::error_code error;
    m_requestsSent += 1;
    m_state->stream.expires_at(until);
    co_await asio::async_write(m_state->stream, buffers, redirect_error(use_awaitable, error));
    noteError(error);
    co_return !error;
}

asio::awaitable<bool> ReplicaConnection::readHead(HttpResponse &head, SteadyTime until)
{
    m_state->stream.expires_at(until);
    const ResponseLimits limits{MaxHeadBytes, std::numeric_limits<std::uint64_t>::max()};
    const beast::error_code error =
        co_await readResponseHead(m_state->stream, m_state->buffer, m_state->parser, limits);
    noteError(error);
    if (error) {
        co_return false;
    }
    const auto &message = m_state->parser->get();
    head.status = message.result_int();
    head.fields.clear();
    for (const auto &field : message) {
        head.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    co_return true;
}

asio::awaitable<bool> ReplicaConnection::readSome(std::string &body, SteadyTime until)
{
    auto &parser = *m_state->parser;
    if (parser.is_done()) {
        co_return true;
    }
    // The stream's own timer never ends a read for which bytes are always there.
    if (m_clock.now() >= until) {
        co_return false;
    }
    const std::size_t before = body.size();
    body.resize(before + ReadSize);
    parser.get().body().data = body.data() + before;
    parser.get().body().size = ReadSize;
    parser.get().body().more = true;
    m_state->stream.expires_at(until);
    beast::error_code error;
    co_await http::async_read_some(m_state->stream, m_state->buffer, parser,
                                   redirect_error(use_awaitable, error));
    body.resize(before + ReadSize - parser.get().body().size);
    if (error == http::error::need_buffer) {
        error = {};
    }
    noteError(error);
    co_return !error;
}

void ReplicaConnection::noteError(const beast::error_code &error)
{
    const bool isEndOfStream = error == asio::error::eof || error == http::error::end_of_stream
        || error == http::error::partial_message;
    const bool isReset = error == asio::error::connection_reset || error == asio::error::broken_pipe
        || error == asio::error::connection_aborted;
    m_brokenByServer = m_brokenByServer || isEndOfStream || isReset;
}

bool ReplicaConnection::responseBegun() const
{
    return m_state->parser.has_value() && m_state->parser->got_some();
}

bool ReplicaConnection::responseComplete() const
{
    return m_state->parser.has_value() && m_state->parser->is_done();
}

bool ReplicaConnection::reusable() const
{
    return !m_unusable && responseComplete() && m_state->parser->get().keep_alive()
        && m_state->buffer.size() == 0 && m_state->stream.socket().is_open();
}

void ReplicaConnection::close()
{
    m_unusable = true;
    m_state->stream.close();
}

bool ReplicaConnection::isQuiet()
{
    return peek(m_state->stream.socket()) == PeekResult::NoData;
}

ReplicaConnectionPool::ReplicaConnectionPool(asio::any_io_executor executor, const Clock &clock)
    : m_executor(std::move(executor))
    , m_clock(clock)
{ }

ReplicaConnectionPool::~ReplicaConnectionPool() = default;

std::shared_ptr<ReplicaConnection> ReplicaConnectionPool::takeIdle(const Endpoint &endpoint,
                                                                   Duration maxIdleTime)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end()) {
        return nullptr;
    }
    const SteadyTime now = m_clock.now();
    std::vector<IdleConnection> &idle = found->second;
    while (!idle.empty()) {
        // The connection used last is the most likely to be still open.
        if (now >= idle.back().idleSince + maxIdleTime) {
            return nullptr;
        }
        const IdleConnection candidate = std::move(idle.back());
        idle.pop_back();
        if (now < candidate.expiresAt && candidate.connection->isQuiet()) {
            return candidate.connection;
        }
    }
    return nullptr;
}

std::shared_ptr<ReplicaConnection> ReplicaConnectionPool::makeConnection() const
{
    return std::make_shared<ReplicaConnection>(m_executor, m_clock);
}

void ReplicaConnectionPool::returnIdle(const Endpoint &endpoint,
                                       std::shared_ptr<ReplicaConnection> connection,
                                       Duration keepAliveTimeout)
{
    std::vector<IdleConnection> &idle = m_idle[endpoint];
    if (idle.size() >= MaxIdleConnections) {
        idle.erase(idle.begin());
    }
    const SteadyTime now = m_clock.now();
    idle.push_back({std::move(connection), now, now + keepAliveTimeout});
}

void ReplicaConnectionPool::closeExpired()
{
    const SteadyTime now = m_clock.now();
    for (auto &[endpoint, idle] : m_idle) {
        std::erase_if(idle, [&](const IdleConnection &item) { return now >= item.expiresAt; });
    }
    std::erase_if(m_idle, [](const auto &item) { return item.second.empty(); });
}

} // namespace boragepath
