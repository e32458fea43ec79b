// Answers with neither a length nor chunks, which end with their connection: those of backend
// servers to the product's own interface, and those of the store.
//
// Guards against such an answer that counts as broken off, and against one that was broken off and
// counts as complete.

#include "backends/backend_client.h"
#include "net/http_client.h"
#include "tests/support/closing_server.h"

#include <gtest/gtest.h>

namespace boragepath {

namespace {

namespace asio = boost::asio;

const Endpoint ServerEndpoint{"127.0.0.9", 17'952};
constexpr std::size_t ReceiveLimit = 1UL * 1024 * 1024;
const std::string Ok = "HTTP/1.1 200 OK\r\n\r\n";
const std::string Event = R"(data: {"choices":[{"delta":{"content":"word"}}]})"
                          "\n\n";
const std::string Done = "data: [DONE]\n\n";

BackendOutcome runCall(const std::string &answer, bool isService, bool resets = false)
{
    asio::io_context context(1);
    SystemClock clock;
    ReceiveBudget received(ReceiveLimit);
    ClosingServer server(context, ServerEndpoint, answer, resets);
    BackendCall call;
    call.replica.endpoint = ServerEndpoint;
    call.isService = isService;
    call.path = "/";
    call.responseIdleTimeout = Milliseconds(5'000);
    BackendOutcome outcome;
    const auto run = [&]() -> asio::awaitable<void> {
        outcome = co_await runBackendCall(call, clock, nullptr, received);
        context.stop();
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    return outcome;
}

} // namespace

TEST(BackendAnswerEnd, AnAnswerThatEndsWithItsConnectionIsComplete)
{
    const BackendOutcome service = runCall(Ok + "the whole body", true);
    EXPECT_TRUE(service.complete);
    EXPECT_EQ(service.answer, "the whole body");
    const BackendOutcome stream = runCall(Ok + Event + Event + Done, false);
    EXPECT_TRUE(stream.complete);
    EXPECT_EQ(stream.answer, "wordword");
}

TEST(BackendAnswerEnd, AStreamThatEndsInsideAnEventOrBeforeItsEndIsBrokenOff)
{
    EXPECT_FALSE(runCall(Ok + Event + "data: {\"choi", false).complete);
    EXPECT_FALSE(runCall(Ok + Event + "data: [DONE]", false).complete);
    EXPECT_FALSE(runCall(Ok + Event, false).complete);
}

TEST(BackendAnswerEnd, AnAnswerWhoseConnectionIsResetIsNotComplete)
{
    EXPECT_FALSE(runCall(Ok + "half of", true, true).complete);
    EXPECT_FALSE(runCall(Ok + Event, false, true).complete);
}

TEST(StoreAnswerEnd, OnlyAnAnswerThatEndsWithItsConnectionIsComplete)
{
    for (const bool resets : {false, true}) {
        asio::io_context context(1);
        ClosingServer server(context, ServerEndpoint, Ok + "{}", resets);
        HttpConnectionPool pool(ServerEndpoint);
        HttpResult result;
        const auto run = [&]() -> asio::awaitable<void> {
            result = co_await pool.call(HttpRequest(), Milliseconds(5'000));
            context.stop();
        };
        asio::co_spawn(context, run(), asio::detached);
        context.run();
        EXPECT_EQ(result.complete, !resets);
    }
}

} // namespace boragepath
