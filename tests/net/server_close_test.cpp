// A server that closes at the end of a planned stop, over loopback.
//
// The process ended as soon as no request was under way. Requests that came on open connections in
// that moment were read and got no answer, and relayed calls were cut after ten seconds.

#include "net/http_server.h"
#include "net/sleep.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace boragepath {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

const Endpoint ServerEndpoint{"127.0.0.9", 17'902};
constexpr Milliseconds HandlingTime{100};
constexpr Milliseconds EnoughToClose{1'500};
constexpr std::size_t MoreThanTheClientBuffers = 1'000'000;

std::string request(const std::string &body)
{
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

HttpResponse refusal()
{
    HttpResponse response;
    response.status = 503;
    response.fields.push_back({"Boragepath-Verdict", "not-run"});
    return response;
}

class ServerClose : public testing::Test
{
protected:
    ServerClose()
        : m_server(
            m_context, {},
            [this](const HttpRequest &message, HttpResponder &responder) -> asio::awaitable<void> {
                m_handled += 1;
                co_await sleepFor(HandlingTime);
                HttpResponse response;
                response.body = message.body == "large"
                    ? std::string(MoreThanTheClientBuffers, 'x') + "<end>"
                    : message.body;
                co_await responder.send(response);
            })
    {
        m_server.listen(ServerEndpoint);
        m_socket.connect({asio::ip::make_address(ServerEndpoint.address), ServerEndpoint.port});
    }

    void send(const std::string &bytes) { asio::write(m_socket, asio::buffer(bytes)); }
    void runFor(Milliseconds duration) { m_context.run_for(duration); }

    /** Reads what has arrived; ends with "<closed>" if the server has closed the connection. */
    std::string received()
    {
        std::string result;
        m_socket.non_blocking(true);
        std::array<char, 4'096> bytes{};
        boost::system::error_code error;
        while (!error) {
            const std::size_t size = m_socket.read_some(asio::buffer(bytes), error);
            result.append(bytes.data(), size);
        }
        return error == asio::error::would_block ? result : result + "<closed>";
    }

    asio::io_context m_context{1};
    int m_handled = 0;
    HttpServer m_server;
    tcp::socket m_socket{m_context};
};

} // namespace

TEST_F(ServerClose, ADrainingServerClosesEachConnectionAfterItsResponse)
{
    send(request("first"));
    runFor(HandlingTime / 2);
    m_server.drain();
    runFor(HandlingTime);
    const std::string answer = received();
    EXPECT_THAT(answer, testing::HasSubstr("Connection: close\r\n"));
    EXPECT_THAT(answer, testing::EndsWith("first<closed>"));
}

TEST_F(ServerClose, ARequestThatIsReadAfterwardsIsRefusedAsNotRun)
{
    send(request("first"));
    runFor(HandlingTime * 2);
    EXPECT_THAT(received(), testing::EndsWith("first"));
    m_server.close(refusal());
    send(request("second"));
    runFor(HandlingTime * 2);
    const std::string answer = received();
    EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 503"));
    EXPECT_THAT(answer, testing::HasSubstr("Boragepath-Verdict: not-run\r\n"));
    EXPECT_THAT(answer, testing::EndsWith("<closed>"));
    EXPECT_EQ(m_handled, 1);
}

TEST_F(ServerClose, ARequestThatWasReadBeforeIsServed)
{
    send(request("first"));
    runFor(HandlingTime / 2);
    m_server.close(refusal());
    EXPECT_FALSE(m_server.isClosed());
    runFor(HandlingTime);
    EXPECT_THAT(received(), testing::EndsWith("first<closed>"));
}

TEST_F(ServerClose, IdleConnectionsAreClosed)
{
    runFor(HandlingTime);
    m_server.close(refusal());
    EXPECT_FALSE(m_server.isClosed());
    runFor(EnoughToClose);
    EXPECT_EQ(received(), "<closed>");
    EXPECT_TRUE(m_server.isClosed());
}

TEST_F(ServerClose, ARequestThatDoesNotArriveIsRefusedAsNotRun)
{
    send(request("first").substr(0, 20));
    runFor(HandlingTime);
    m_server.close(refusal());
    runFor(EnoughToClose);
    EXPECT_THAT(received(), testing::StartsWith("HTTP/1.1 503"));
    EXPECT_TRUE(m_server.isClosed());
    EXPECT_EQ(m_handled, 0);
}

// The system resets a connection that is closed with unread bytes. What of the answer had not
// reached the client yet was lost.
TEST_F(ServerClose, AnAnswerIsNotLostIfTheNextRequestHasBeenSentAlready)
{
    constexpr int SmallBuffer = 65'536;
    constexpr int MaxReads = 2'000;
    m_socket.set_option(asio::socket_base::receive_buffer_size(SmallBuffer));
    m_server.drain();
    send(request("large"));
    runFor(HandlingTime / 2);
    send(request("second"));
    std::string answer;
    for (int reads = 0; reads < MaxReads && answer.find('<') == std::string::npos; ++reads) {
        runFor(Milliseconds(1));
        answer += received();
    }
    EXPECT_NE(answer.find("x<end>"), std::string::npos);
    EXPECT_EQ(m_handled, 1);
}

} // namespace boragepath
