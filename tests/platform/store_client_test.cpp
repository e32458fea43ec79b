// The way to the store, where it turns some VMs away.

#include "platform/store_client.h"

#include "net/http_server.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace boragepath::platform {

namespace {

namespace asio = boost::asio;

const Endpoint ClosedStore{"127.0.0.9", 17'941};
const Endpoint OpenStore{"127.0.0.9", 17'942};
const Endpoint OtherVm{"127.0.0.9", 17'943};

/** One VM that the store turns away, and one that it serves. */
class StoreClientTest : public testing::Test
{
protected:
    StoreClientTest()
        : m_health(m_clock)
        , m_otherHealth(m_clock)
        , m_closed(m_context, {}, handler(503))
        , m_open(m_context, {}, handler(200))
        , m_other(m_context, m_clock, OpenStore, m_otherHealth, [] { return std::nullopt; })
        , m_client(m_context, m_clock, ClosedStore, m_health, [this] { return m_detour; })
        , m_otherServer(m_context, {},
                        [this](const HttpRequest &request,
                               HttpResponder &responder) -> asio::awaitable<void> {
                            HttpRequest passed;
                            passed.method = request.method;
                            passed.target = request.target;
                            passed.body = request.body;
                            const HttpResponse answer =
                                co_await m_other.callForPeer(std::move(passed));
                            co_await responder.send(answer);
                        })
    {
        m_closed.listen(ClosedStore);
        m_open.listen(OpenStore);
        m_otherServer.listen(OtherVm);
    }

    HttpHandler handler(unsigned status)
    {
        return [this, status](const HttpRequest &request,
                              HttpResponder &responder) -> asio::awaitable<void> {
            HttpResponse response;
            response.status = status;
            response.body = R"({"ver":7,"rows":[]})";
            m_answered += status == 200 ? 1 : 0;
            m_lastBody = request.body;
            co_await responder.send(response);
        };
    }

    StoreAnswer transact()
    {
        std::optional<StoreAnswer> answer;
        RowTransaction transaction;
        transaction.puts.push_back({{"t", "p", "k"}, "value"});
        m_client.transact(transaction,
                          [&](const TransactionResult &result) { answer = result.answer; });
        while (!answer.has_value()) {
            m_context.run_one();
        }
        return *answer;
    }

    asio::io_context m_context{1};
    SystemClock m_clock;
    StoreHealth m_health;
    StoreHealth m_otherHealth;
    std::optional<Endpoint> m_detour;
    HttpServer m_closed;
    HttpServer m_open;
    StoreClient m_other;
    StoreClient m_client;
    HttpServer m_otherServer;
    int m_answered = 0;
    std::string m_lastBody;
};

} // namespace

TEST_F(StoreClientTest, AVmThatIsTurnedAwayGoesThroughAnother)
{
    {
        SCOPED_TRACE("the store refuses until it counts as away");
        for (int call = 0; call < 3; ++call) {
            EXPECT_EQ(transact(), StoreAnswer::Rejected);
        }
        EXPECT_TRUE(m_client.directRouteUnavailable());
        EXPECT_TRUE(m_health.unavailable());
    }
    {
        SCOPED_TRACE("another VM reaches it: most calls get through");
        m_detour = OtherVm;
        int done = 0;
        for (int call = 0; call < 6; ++call) {
            done += transact() == StoreAnswer::Done ? 1 : 0;
        }
        EXPECT_GE(done, 5);
        EXPECT_EQ(m_answered, done);
        EXPECT_NE(m_lastBody.find("dmFsdWU="), std::string::npos);
        EXPECT_FALSE(m_health.unavailable());
        EXPECT_TRUE(m_client.directRouteUnavailable());
    }
}

TEST_F(StoreClientTest, ACallIsPassedOnOnceAtMost)
{
    // The other VM is turned away, too: its refusal is an answer, not a second detour.
    for (int call = 0; call < 3; ++call) {
        transact();
    }
    m_detour = OtherVm;
    StoreHealth health(m_clock);
    StoreClient also(m_context, m_clock, ClosedStore, health,
                     []() -> std::optional<Endpoint> { return OtherVm; });
    for (int call = 0; call < 4; ++call) {
        bool answered = false;
        also.read({"t", "p", "", ""}, [&](const ReadResult &) { answered = true; });
        while (!answered) {
            m_context.run_one();
        }
    }
    std::optional<unsigned> status;
    asio::co_spawn(
        m_context,
        [&]() -> asio::awaitable<void> {
            HttpRequest request;
            request.target = "/v1/rows-get?table=t&part=p";
            const HttpResponse response = co_await also.callForPeer(request);
            status = response.status;
        },
        asio::detached);
    while (!status.has_value()) {
        m_context.run_one();
    }
    EXPECT_EQ(status, 503U);
}

} // namespace boragepath::platform
