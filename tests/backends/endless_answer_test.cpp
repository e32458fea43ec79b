// Backend servers that send bytes without end to the product's own interface.
//
// Guards against a VM that collects an answer until its memory is used up.

#include "backends/backend_client.h"
#include "control/records.h"
#include "tests/support/endless_server.h"
#include "tests/support/peak_memory.h"

#include <gtest/gtest.h>

namespace boragepath {

namespace {

namespace asio = boost::asio;

const Endpoint ServerEndpoint{"127.0.0.9", 17'951};
constexpr std::size_t ReceiveLimit = 16UL * 1024 * 1024;
constexpr int CallsAtOnce = 30;
const std::string Ok = "HTTP/1.1 200 OK\r\n\r\n";
const std::string Block(16'000, 'x');

struct EndlessCase
{
    const char *what;
    bool isService;
    std::string head;
    std::string bytes;
};

BackendCall callFor(const EndlessCase &item)
{
    BackendCall call;
    call.replica.endpoint = ServerEndpoint;
    call.isService = item.isService;
    call.path = "/";
    call.responseIdleTimeout = Milliseconds(10'000);
    return call;
}

const EndlessCase Cases[] = {
    {"the body of a service", true, Ok, Block},
    {"an event", false, Ok + "data: ", Block},
    {"events", false, Ok, R"(data: {"choices":[{"delta":{"content":")" + Block + "\"}}]}\n\n"},
    {"the body of an error", false, "HTTP/1.1 500 Error\r\n\r\n", Block},
    {"the extension of a chunk", false, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
     Block},
    {"fields", false, "HTTP/1.1 200 OK\r\n", "Field: x\r\n"},
    {"a trailer", true, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
     "Field: x\r\n"},
    {"interim heads", true, "", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"bytes that are no answer", false, "", Block},
    {"the body of an answer with an unknown status", true, "HTTP/1.1 600 x\r\n\r\n", Block},
};

} // namespace

TEST(EndlessBackendAnswer, ManyAtOnceHoldNoMoreThanTheProcessMay)
{
    for (const EndlessCase &item : Cases) {
        SCOPED_TRACE(item.what);
        asio::io_context context(1);
        SystemClock clock;
        ReceiveBudget received(ReceiveLimit);
        EndlessServer server(context, ServerEndpoint, item.head, item.bytes);
        PeakMemory memory(context);
        int ended = 0;
        int complete = 0;
        const auto run = [&]() -> asio::awaitable<void> {
            const BackendOutcome outcome =
                co_await runBackendCall(callFor(item), clock, nullptr, received);
            complete += outcome.complete ? 1 : 0;
            EXPECT_TRUE(outcome.sent);
            ended += 1;
        };
        for (int call = 0; call < CallsAtOnce; ++call) {
            asio::co_spawn(context, run(), asio::detached);
        }
        while (ended < CallsAtOnce) {
            context.run_one();
        }
        EXPECT_EQ(complete, 0);
        EXPECT_EQ(received.held(), 0U);
        EXPECT_LT(memory.grownBytes(), 3 * ReceiveLimit);
    }
}

// A row with a longer answer is larger than what table services take in a request.
TEST(EndlessBackendAnswer, AnAnswerThatNoRowCanHoldIsNotStored)
{
    const std::string lengths[] = {std::to_string(MaxStoredTextBytes),
                                   std::to_string(MaxStoredTextBytes / 2)};
    for (const std::string &length : lengths) {
        asio::io_context context(1);
        SystemClock clock;
        ReceiveBudget received(ReceiveLimit);
        const EndlessCase item{"quotes", true,
                               "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n",
                               std::string(16'384, '"')};
        EndlessServer server(context, ServerEndpoint, item.head, item.bytes);
        const auto run = [&]() -> asio::awaitable<void> {
            const BackendOutcome outcome =
                co_await runBackendCall(callFor(item), clock, nullptr, received);
            EXPECT_FALSE(outcome.complete);
            EXPECT_TRUE(outcome.sent);
            EXPECT_TRUE(outcome.answer.empty());
            context.stop();
        };
        asio::co_spawn(context, run(), asio::detached);
        context.run();
    }
}

// Programs that a server says it holds are a list of any length.
TEST(EndlessBackendAnswer, AStatusWithoutEndCountsAsNoAnswer)
{
    asio::io_context context(1);
    ReceiveBudget received(ReceiveLimit);
    EndlessServer server(context, ServerEndpoint, Ok + R"({"held":[")", Block);
    PeakMemory memory(context);
    int ended = 0;
    const auto run = [&]() -> asio::awaitable<void> {
        const BackendStatus status = co_await readBackendStatus(ServerEndpoint, received);
        EXPECT_FALSE(status.answered);
        ended += 1;
    };
    for (int call = 0; call < CallsAtOnce; ++call) {
        asio::co_spawn(context, run(), asio::detached);
    }
    while (ended < CallsAtOnce) {
        context.run_one();
    }
    EXPECT_LT(memory.grownBytes(), 3 * ReceiveLimit);
}

} // namespace boragepath
