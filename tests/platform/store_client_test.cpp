// Calls to the store, directly and through a peer VM, while it rejects some VMs.

#include "platform/store_client.h"

#include "net/http_server.h"
#include "tests/support/endless_server.h"
#include "tests/support/peak_memory.h"

#include <gtest/gtest.h>

#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace boragepath::platform {

namespace {

namespace asio = boost::asio;

constexpr std::size_t ReceiveLimit = 4UL * 1024 * 1024;
const Endpoint RefusingStore{"127.0.0.9", 17'941};
const Endpoint ServingStore{"127.0.0.9", 17'942};
const Endpoint PeerVm{"127.0.0.9", 17'943};

/** A VM that the store rejects, and a peer that it serves. */
class StoreClientTest : public testing::Test
{
protected:
    StoreClientTest()
        : m_health(m_clock)
        , m_peerHealth(m_clock)
        , m_refusingStore(m_context, {}, handler(m_refusingStatus))
        , m_servingStore(m_context, {}, handler(m_servingStatus))
        , m_peerClient(m_context, m_clock, ServingStore, m_peerHealth, m_peerReceived,
                       [] { return std::nullopt; })
        , m_client(m_context, m_clock, RefusingStore, m_health, m_received,
                   [this] { return m_peer; })
        , m_peerServer(m_context, {},
                       [this](const HttpRequest &request,
                              HttpResponder &responder) -> asio::awaitable<void> {
                           HttpRequest forwarded;
                           forwarded.method = request.method;
                           forwarded.target = request.target;
                           forwarded.body = request.body;
                           const HttpResult answer =
                               co_await m_peerClient.callForPeer(std::move(forwarded));
                           co_await responder.send(answer.response);
                       })
    {
        m_refusingStore.listen(RefusingStore);
        m_servingStore.listen(ServingStore);
        m_peerServer.listen(PeerVm);
    }

    HttpHandler handler(const unsigned &status)
    {
        return [this, &status](const HttpRequest &request,
                               HttpResponder &responder) -> asio::awaitable<void> {
            HttpResponse response;
            response.status = status;
            response.body = R"({"ver":7,"rows":[]})";
            m_servedCalls += status == 200 ? 1 : 0;
            m_lastBody = request.body;
            co_await responder.send(response);
        };
    }

    /** Writes a row of another partition than the call before, as the rows of programs are. */
    StoreAnswer transact()
    {
        std::optional<StoreAnswer> answer;
        RowTransaction transaction;
        m_nextPartition += 1;
        transaction.puts.push_back({{"t", std::to_string(m_nextPartition), "k"}, "value"});
        m_client.transact(transaction,
                          [&](const TransactionResult &result) { answer = result.answer; });
        while (!answer.has_value()) {
            m_context.run_one();
        }
        return *answer;
    }

    unsigned m_refusingStatus = 503;
    const unsigned m_servingStatus = 200;
    asio::io_context m_context{1};
    SystemClock m_clock;
    StoreHealth m_health;
    StoreHealth m_peerHealth;
    std::optional<Endpoint> m_peer;
    HttpServer m_refusingStore;
    HttpServer m_servingStore;
    ReceiveBudget m_peerReceived{ReceiveLimit};
    ReceiveBudget m_received{ReceiveLimit};
    StoreClient m_peerClient;
    StoreClient m_client;
    HttpServer m_peerServer;
    int m_nextPartition = 0;
    int m_servedCalls = 0;
    std::string m_lastBody;
};

} // namespace

TEST_F(StoreClientTest, RejectedVmCallsTheStoreThroughAPeer)
{
    {
        SCOPED_TRACE("the store rejects calls until it counts as unavailable");
        for (int call = 0; call < 4; ++call) {
            EXPECT_EQ(transact(), StoreAnswer::Rejected);
        }
        EXPECT_TRUE(m_client.directRouteUnavailable());
        EXPECT_TRUE(m_health.unavailable());
    }
    {
        SCOPED_TRACE("a peer reaches the store: most calls succeed");
        m_peer = PeerVm;
        int done = 0;
        for (int call = 0; call < 6; ++call) {
            done += transact() == StoreAnswer::Done ? 1 : 0;
        }
        EXPECT_GE(done, 5);
        EXPECT_EQ(m_servedCalls, done);
        EXPECT_NE(m_lastBody.find("dmFsdWU="), std::string::npos);
        EXPECT_FALSE(m_health.unavailable());
        EXPECT_TRUE(m_client.directRouteUnavailable());
    }
}

/**
 * The store answers one VM with 429 for some seconds and serves all others. Programs whose
 * budgets this VM coordinates then waited for it in vain, since it asked no peer.
 */
TEST_F(StoreClientTest, AVmThatIsOnlyThrottledCallsTheStoreThroughAPeer)
{
    m_refusingStatus = 429;
    m_peer = PeerVm;
    const SteadyTime end = m_clock.now() + Milliseconds(1'500);
    EXPECT_EQ(transact(), StoreAnswer::Rejected);
    while (m_clock.now() < end && !m_client.directRouteUnavailable()) {
        transact();
        std::this_thread::sleep_for(Milliseconds(20));
    }
    EXPECT_TRUE(m_client.directRouteUnavailable());
    int done = 0;
    for (int call = 0; call < 6; ++call) {
        done += transact() == StoreAnswer::Done ? 1 : 0;
    }
    EXPECT_GE(done, 5);
    EXPECT_FALSE(m_health.unavailable());
}

TEST_F(StoreClientTest, PeerDoesNotForwardACallToAThirdVm)
{
    // The peer is rejected by the store, too: it answers 503 instead of asking a third VM.
    for (int call = 0; call < 4; ++call) {
        transact();
    }
    m_peer = PeerVm;
    StoreHealth health(m_clock);
    StoreClient refusedClient(m_context, m_clock, RefusingStore, health, m_received,
                              []() -> std::optional<Endpoint> { return PeerVm; });
    for (int call = 0; call < 4; ++call) {
        bool answered = false;
        refusedClient.read({"t", std::to_string(call), "", ""},
                           [&](const ReadResult &) { answered = true; });
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
            const HttpResult result = co_await refusedClient.callForPeer(request);
            status = result.response.status;
        },
        asio::detached);
    while (!status.has_value()) {
        m_context.run_one();
    }
    EXPECT_EQ(status, 503U);
}

// Each answer was limited to 16 MB, and all of them together were not limited.
TEST_F(StoreClientTest, AnswersWithoutEndHoldNoMoreThanTheProcessMay)
{
    constexpr int CallsAtOnce = 30;
    const Endpoint endlessStore{"127.0.0.9", 17'944};
    EndlessServer server(m_context, endlessStore,
                         "HTTP/1.1 200 OK\r\n\r\n" + std::string(R"({"rows":[")"),
                         std::string(16'000, 'x'));
    StoreHealth health(m_clock);
    StoreClient client(m_context, m_clock, endlessStore, health, m_received,
                       [] { return std::nullopt; });
    PeakMemory memory(m_context);
    int answered = 0;
    for (int call = 0; call < CallsAtOnce; ++call) {
        client.read({"t", "p", "", ""}, [&](const ReadResult &result) {
            EXPECT_NE(result.answer, StoreAnswer::Done);
            answered += 1;
        });
    }
    while (answered < CallsAtOnce) {
        m_context.run_one();
    }
    EXPECT_LT(memory.grownBytes(), 3 * ReceiveLimit);
    EXPECT_EQ(m_received.held(), 0U);
    EXPECT_FALSE(health.unavailable()) << "the store answers; it is this VM that has no room";
}

// A store that has a further page after each one kept a VM reading until its memory was used up.
TEST_F(StoreClientTest, AReadWithPagesWithoutEndEnds)
{
    const Endpoint endlessStore{"127.0.0.9", 17'945};
    const std::string page = R"({"ver":7,"morePages":true,"rows":[{"table":"t","part":"p",)"
                             R"("key":"k","ver":1,"value":")"
        + std::string(100'000, 'A') + R"("}]})";
    HttpServer server(m_context, {},
                      [&](const HttpRequest &, HttpResponder &responder) -> asio::awaitable<void> {
                          HttpResponse response;
                          response.body = page;
                          co_await responder.send(response);
                      });
    server.listen(endlessStore);
    StoreHealth health(m_clock);
    StoreClient client(m_context, m_clock, endlessStore, health, m_received,
                       [] { return std::nullopt; });
    std::optional<StoreAnswer> answer;
    client.read({"t", "p", "", ""}, [&](const ReadResult &result) { answer = result.answer; });
    const SteadyTime startedAt = m_clock.now();
    while (!answer.has_value() && m_clock.now() < startedAt + Seconds(20)) {
        m_context.run_one();
    }
    ASSERT_TRUE(answer.has_value()) << "the read goes on without end";
    EXPECT_NE(*answer, StoreAnswer::Done);
    EXPECT_EQ(m_received.held(), 0U);
}

// Peers send calls to the store through this VM, up to 500 at the same time.
TEST_F(StoreClientTest, RequestsThatThereIsNoRoomForAreRejectedAsNotRun)
{
    const Endpoint proxy{"127.0.0.9", 17'946};
    HttpLimits limits;
    limits.received = &m_received;
    int handled = 0;
    HttpServer server(m_context, limits,
                      [&](const HttpRequest &, HttpResponder &responder) -> asio::awaitable<void> {
                          handled += 1;
                          co_await responder.send(HttpResponse());
                      });
    server.listen(proxy);
    std::vector<unsigned> statuses;
    const auto send = [&](std::size_t bytes) -> asio::awaitable<void> {
        HttpRequest request;
        request.method = "POST";
        request.body = std::string(bytes, 'x');
        const HttpResult result = co_await httpCall(proxy, request, Milliseconds(5'000));
        statuses.push_back(result.response.status);
    };
    for (const std::size_t bytes : {ReceiveLimit * 3 / 4, std::size_t{1'000}}) {
        const std::size_t before = statuses.size();
        asio::co_spawn(m_context, send(bytes), asio::detached);
        while (statuses.size() == before) {
            m_context.run_one();
        }
    }
    EXPECT_EQ(statuses[1], 200U);
    EXPECT_NE(statuses[0], 200U);
    EXPECT_EQ(handled, 1);
    EXPECT_EQ(m_received.held(), 0U);
}

} // namespace boragepath::platform
