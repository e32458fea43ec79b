// Servers that answer an upload at once, with a success that has no length, send a part of its
// body, and reset the connection: backend servers of the product's own interface, the store, and
// other VMs that pass on calls to the store.
//
// Guards against that part as a complete answer.

#include "backends/backend_client.h"
#include "net/http_client.h"
#include "tests/support/early_server.h"

#include <gtest/gtest.h>

#include <functional>

namespace boragepath {

namespace {

namespace asio = boost::asio;

const Endpoint ServerEndpoint{"127.0.0.9", 17'932};
constexpr std::size_t ReceiveLimit = 1UL * 1024 * 1024;
constexpr Milliseconds Timeout{5'000};
/** More than the sockets on the way hold, and an upload that they hold whole. */
constexpr std::size_t Uploads[] = {500, 12UL << 20};
const std::string Ok = "HTTP/1.1 200 OK\r\n\r\n";
const std::string Event = R"(data: {"choices":[{"delta":{"content":"word"}}]})"
                          "\n\n";

/** Runs @p call while the server answers with @p answer; returns the number of its requests. */
int runAgainst(const std::string &answer, const std::function<asio::awaitable<void>()> &call)
{
    asio::io_context context(1);
    EarlyServer server(context, ServerEndpoint);
    server.answer = answer;
    const auto run = [&]() -> asio::awaitable<void> {
        co_await call();
        context.stop();
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    return server.requests;
}

} // namespace

TEST(BackendEarlyAnswer, APartOfAnAnswerIsNotCompleteIfTheConnectionIsResetDuringTheUpload)
{
    SystemClock clock;
    ReceiveBudget received(ReceiveLimit);
    for (const std::size_t bytes : Uploads) {
        for (const bool isService : {false, true}) {
            SCOPED_TRACE(testing::Message() << bytes << (isService ? ", service" : ", engine"));
            BackendCall call;
            call.replica.endpoint = ServerEndpoint;
            call.isService = isService;
            call.path = "/";
            call.body = std::string(bytes, 'x');
            call.responseIdleTimeout = Timeout;
            BackendOutcome outcome;
            const int requests =
                runAgainst(Ok + (isService ? "part" : Event), [&]() -> asio::awaitable<void> {
                    outcome = co_await runBackendCall(call, clock, nullptr, received);
                });
            EXPECT_EQ(requests, 1);
            EXPECT_TRUE(outcome.sent);
            EXPECT_FALSE(outcome.complete);
        }
    }
}

TEST(StoreEarlyAnswer, APartOfAnAnswerIsNotCompleteIfTheConnectionIsResetDuringTheUpload)
{
    for (const std::size_t bytes : Uploads) {
        for (const bool isPooled : {false, true}) {
            SCOPED_TRACE(testing::Message() << bytes << (isPooled ? ", pooled" : ", to a VM"));
            HttpConnectionPool pool(ServerEndpoint);
            HttpRequest request;
            request.method = "POST";
            request.target = "/v1/rows-tx";
            request.body = std::string(bytes, 'x');
            HttpResult result;
            const int requests = runAgainst(Ok + "{}", [&]() -> asio::awaitable<void> {
                if (isPooled) {
                    result = co_await pool.call(request, Timeout);
                } else {
                    result = co_await httpCall(ServerEndpoint, request, Timeout);
                }
            });
            EXPECT_EQ(requests, 1);
            EXPECT_TRUE(result.sent);
            EXPECT_FALSE(result.complete);
        }
    }
}

} // namespace boragepath
