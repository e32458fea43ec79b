// Connections that the soak's callers keep open: how a call's end is told apart decides whether it
// counts as lost.

#include "soak/kept_connections.h"

#include "net/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <optional>

namespace boragepath::soak {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Milliseconds IdleTimeout{2'000};
constexpr std::size_t RequestBodyBytes = 500'000;

using Script = std::function<asio::awaitable<void>(tcp::socket &socket)>;

asio::awaitable<void> readSome(tcp::socket &socket)
{
    std::array<char, 16'384> bytes{};
    co_await socket.async_read_some(asio::buffer(bytes), asio::use_awaitable);
}

asio::awaitable<void> answer(tcp::socket &socket, std::string head)
{
    co_await readSome(socket);
    const std::string bytes = head + "Content-Length: 2\r\n\r\nok";
    co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
}

class KeptConnectionsTest : public testing::Test
{
protected:
    /** Serves each connection with a script, and closes it after that. */
    void serve(Script script)
    {
        asio::co_spawn(m_context, acceptAll(std::move(script)), asio::detached);
    }

    ConnectionFacts call(bool keep, std::size_t bodyBytes = 0)
    {
        HttpRequest request;
        request.method = "POST";
        request.body = std::string(bodyBytes, 'x');
        HttpResponseSink sink;
        sink.onHeader = [](const HttpResponse &) -> asio::awaitable<bool> { co_return true; };
        sink.onData = [](const std::string &) -> asio::awaitable<bool> { co_return true; };
        const tcp::endpoint address = m_acceptor.local_endpoint();
        const Endpoint endpoint{address.address().to_string(), address.port()};
        std::optional<ConnectionFacts> facts;
        asio::co_spawn(m_context, m_connections.call(endpoint, request, IdleTimeout, sink, keep),
                       [&](const std::exception_ptr &, ConnectionFacts result) { facts = result; });
        while (!facts.has_value()) {
            m_context.run_one();
        }
        return *facts;
    }

    SystemClock m_clock;
    asio::io_context m_context{1};
    tcp::acceptor m_acceptor{m_context, {asio::ip::make_address("127.0.0.1"), 0}};
    KeptConnections m_connections{m_clock};

private:
    asio::awaitable<void> acceptAll(Script script)
    {
        for (;;) {
            tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(m_context, serveOne(std::move(socket), script), asio::detached);
        }
    }

    static asio::awaitable<void> serveOne(tcp::socket socket, Script script)
    {
        co_await script(socket);
    }
};

TEST_F(KeptConnectionsTest, KeptConnectionCarriesTheNextCall)
{
    serve([](tcp::socket &socket) -> asio::awaitable<void> {
        co_await answer(socket, "HTTP/1.1 200 OK\r\n");
        co_await answer(socket, "HTTP/1.1 200 OK\r\n");
    });
    EXPECT_EQ(call(true).callsBefore, 0);
    const ConnectionFacts second = call(true);
    EXPECT_EQ(second.callsBefore, 1);
    EXPECT_EQ(second.end, CallEnd::Answered);
}

TEST_F(KeptConnectionsTest, ConnectionThatTheAnswerClosesIsNotUsedAgain)
{
    serve([](tcp::socket &socket) -> asio::awaitable<void> {
        co_await answer(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n");
        co_await answer(socket, "HTTP/1.1 200 OK\r\n");
    });
    EXPECT_EQ(call(true).end, CallEnd::Answered);
    EXPECT_EQ(call(true).callsBefore, 0);
}

TEST_F(KeptConnectionsTest, CloseAfterTheWholeRequestWasReadIsOrderly)
{
    serve([](tcp::socket &socket) -> asio::awaitable<void> {
        co_await readSome(socket);
        co_await sleepFor(Milliseconds(50));
    });
    const ConnectionFacts facts = call(true);
    EXPECT_EQ(facts.end, CallEnd::Closed);
    EXPECT_GE(facts.endedAt, facts.lastByteAt + Milliseconds(40));
}

TEST_F(KeptConnectionsTest, CloseWithUnreadBytesIsAReset)
{
    serve([](tcp::socket &socket) -> asio::awaitable<void> {
        co_await readSome(socket);
        co_await sleepFor(Milliseconds(50));
    });
    EXPECT_EQ(call(true, RequestBodyBytes).end, CallEnd::Reset);
}

TEST_F(KeptConnectionsTest, AnswerThatEndsMidwayIsNotWhole)
{
    serve([](tcp::socket &socket) -> asio::awaitable<void> {
        co_await readSome(socket);
        const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
        co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
    });
    EXPECT_EQ(call(true).end, CallEnd::Closed);
}

TEST_F(KeptConnectionsTest, RefusedConnectionCarriedNothing)
{
    // Bound, but not listening.
    m_acceptor.close();
    m_acceptor.open(tcp::v4());
    m_acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    EXPECT_EQ(call(true).end, CallEnd::NotConnected);
}

} // namespace

} // namespace boragepath::soak
