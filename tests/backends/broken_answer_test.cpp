// Answers that stop in the middle of their head or body, and streams that hold more than one
// answer: those of backend servers to the product's own interface, and those of the store.
//
// Guards against a success with an empty or short body, and against a stream that counts as
// complete though its server broke it off.

#include "backends/backend_client.h"
#include "net/http_client.h"
#include "tests/support/closing_server.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace boragepath {

namespace {

namespace asio = boost::asio;

const Endpoint ServerEndpoint{"127.0.0.9", 17'953};
constexpr std::size_t ReceiveLimit = 1UL * 1024 * 1024;
constexpr Milliseconds Timeout{5'000};
const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n";
const std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string Done = "data: [DONE]\n\n";

std::string event(const std::string &word)
{
    return R"(data: {"choices":[{"delta":{"content":")" + word + R"("}}]})" + "\n\n";
}

/** What arrives before the connection ends. */
const std::vector<std::string> CutAnswers = {
    "",
    "HTTP/1.1 20",
    "HTTP/1.1 200 OK",
    "HTTP/1.1 200 OK\r",
    Ok,
    Ok + "Content-Type: text/event-stream\r\nX: y\r\n",
    Ok + "Content-Le",
    Ok + "Content-Type: text/eve",
    Ok + "Content-Length: 1",
    Ok + "Content-Length: 0\r\n",
    Ok + "Content-Length: 12\r\n\r",
    Ok + "Content-Length: 12\r\n\r\n",
    Ok + "Content-Length: 12\r\n\r\nwrong",
    Ok + Chunked + "\r\n",
    Ok + Chunked + "\r\n1",
    Ok + Chunked + "\r\n5\r\nwro",
    Ok + Chunked + "\r\n5\r\nwrong\r\n",
    Ok + Chunked + "\r\n5\r\nwrong\r\n0",
    Ok + Chunked + "\r\n5\r\nwrong\r\n0\r\n",
    Ok + Chunked + "\r\n5\r\nwrong\r\n0\r\nDate: x",
    "HTTP/1.0 200 OK\r\nContent-Type: x\r\n",
    "HTTP/1.0 200 OK\r\nContent-Length: 12\r\n\r\nwrong",
    Continue,
    Continue + Ok,
    Continue + Continue + "HTTP/1.1 200",
};

struct CallResult
{
    BackendOutcome outcome;
    std::vector<std::string> forwarded;
};

CallResult runCall(const std::string &answer, bool isService, bool resets = false)
{
    asio::io_context context(1);
    SystemClock clock;
    ReceiveBudget received(ReceiveLimit);
    ClosingServer server(context, ServerEndpoint, answer, resets);
    BackendCall call;
    call.replica.endpoint = ServerEndpoint;
    call.isService = isService;
    call.path = "/";
    call.responseIdleTimeout = Timeout;
    CallResult result;
    StreamEventHandler events = [&](const std::string &data) -> asio::awaitable<bool> {
        result.forwarded.push_back(data);
        co_return true;
    };
    const auto run = [&]() -> asio::awaitable<void> {
        result.outcome = co_await runBackendCall(call, clock, events, received);
        context.stop();
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    return result;
}

/** Results of requests that are sent one after another through one pool. */
std::vector<HttpResult> callStore(const std::vector<std::string> &answers, bool resets)
{
    asio::io_context context(1);
    ClosingServer server(context, ServerEndpoint, answers, resets);
    HttpConnectionPool pool(ServerEndpoint);
    std::vector<HttpResult> results;
    const auto run = [&]() -> asio::awaitable<void> {
        for (std::size_t number = 0; number < answers.size(); ++number) {
            results.push_back(co_await pool.call(HttpRequest(), Timeout));
        }
        context.stop();
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    return results;
}

} // namespace

TEST(BackendBrokenAnswer, AnAnswerThatStopsIsNotCompleteAndMayHaveRun)
{
    for (const std::string &bytes : CutAnswers) {
        for (const bool isService : {false, true}) {
            for (const bool resets : {false, true}) {
                SCOPED_TRACE(testing::Message() << bytes << "|" << isService << resets);
                const CallResult result = runCall(bytes, isService, resets);
                EXPECT_FALSE(result.outcome.complete);
                EXPECT_TRUE(result.outcome.sent);
                EXPECT_THAT(result.forwarded, testing::IsEmpty());
            }
        }
    }
}

// An interim head was taken for the answer: a service's call was recorded as run, with status 100
// and an empty body.
TEST(BackendBrokenAnswer, AnAnswerAfterInterimHeadsIsTheAnswer)
{
    const std::string interim = Continue + "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    const CallResult service = runCall(interim + Ok + "Content-Length: 5\r\n\r\nwhole", true);
    EXPECT_TRUE(service.outcome.complete);
    EXPECT_EQ(service.outcome.status, 200U);
    EXPECT_EQ(service.outcome.answer, "whole");
    const CallResult stream = runCall(interim + Ok + "\r\n" + event("word") + Done, false);
    EXPECT_TRUE(stream.outcome.complete);
    EXPECT_EQ(stream.outcome.answer, "word");
}

// Such a head was an answer: of a service's call, which was recorded with it, and of the store.
TEST(BackendBrokenAnswer, AHeadWithAStatusThatHttpDoesNotKnowIsNoAnswer)
{
    for (const char *status : {"000", "001", "099", "600", "999"}) {
        SCOPED_TRACE(status);
        const std::string bytes =
            "HTTP/1.1 " + std::string(status) + " x\r\nContent-Length: 2\r\n\r\n{}";
        for (const bool isService : {false, true}) {
            const CallResult result = runCall(bytes, isService);
            EXPECT_FALSE(result.outcome.complete);
            EXPECT_TRUE(result.outcome.sent);
            EXPECT_EQ(result.outcome.status, 0U);
        }
        EXPECT_FALSE(callStore({bytes}, false).back().complete);
    }
}

TEST(BackendBrokenAnswer, AnAnswerThatIsNoStreamIsNotComplete)
{
    const std::string body = R"({"error":{"message":"wrong"}})";
    const std::string framed = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (const char *status :
         {"500 Error", "404 Not Found", "302 Found", "206 Partial", "200 OK"}) {
        const CallResult result =
            runCall("HTTP/1.1 " + std::string(status) + "\r\n" + framed, false);
        EXPECT_FALSE(result.outcome.complete) << status;
        EXPECT_EQ(result.outcome.answer, "") << status;
        EXPECT_THAT(result.forwarded, testing::IsEmpty()) << status;
    }
}

TEST(BackendBrokenAnswer, AHeadInPlaceOfAChunkBreaksTheStreamOff)
{
    const CallResult result = runCall(
        Ok + Chunked + "\r\n38\r\n" + event("word") + "\r\n" + Ok + Chunked + "\r\n" + Done, false);
    EXPECT_FALSE(result.outcome.complete);
    EXPECT_EQ(result.outcome.answer, "word");
}

// The events of a second answer in the same body were added to the first one's.
TEST(BackendBrokenAnswer, AHeadInTheMiddleOfAStreamBreaksItOff)
{
    const CallResult result =
        runCall(Ok + "\r\n" + event("one") + Ok + "\r\n" + event("two") + Done, false);
    EXPECT_FALSE(result.outcome.complete);
    EXPECT_EQ(result.outcome.answer, "one");
    EXPECT_EQ(result.forwarded.size(), 1U);
}

TEST(BackendBrokenAnswer, WhatFollowsTheEndOfAStreamBelongsToNoAnswer)
{
    const CallResult result =
        runCall(Ok + "\r\n" + event("one") + Done + event("two") + Done, false);
    EXPECT_TRUE(result.outcome.complete);
    EXPECT_EQ(result.outcome.answer, "one");
    EXPECT_EQ(result.forwarded.size(), 1U);
}

// Engines report a failure within a stream as an event, and still write the end marker. The part
// was recorded as the whole answer, and the error's text stood in the caller's stream.
TEST(BackendBrokenAnswer, AnErrorEventBreaksTheStreamOff)
{
    const std::string error = R"(data: {"error":{"message":"engine failed"}})"
                              "\n\n";
    const CallResult result = runCall(Ok + "\r\n" + event("one") + error + Done, false);
    EXPECT_FALSE(result.outcome.complete);
    EXPECT_EQ(result.forwarded.size(), 1U);
    EXPECT_THAT(result.outcome.error, testing::HasSubstr("engine failed"));
}

TEST(StoreBrokenAnswer, AnAnswerThatStopsIsNotComplete)
{
    for (const std::string &bytes : CutAnswers) {
        for (const bool resets : {false, true}) {
            SCOPED_TRACE(testing::Message() << bytes << "|" << resets);
            EXPECT_FALSE(callStore({bytes}, resets).back().complete);
            const auto onKeptConnection =
                callStore({Ok + "Content-Length: 2\r\n\r\n{}", bytes}, resets);
            EXPECT_TRUE(onKeptConnection.front().complete);
            EXPECT_FALSE(onKeptConnection.back().complete);
        }
    }
}

// An interim head was taken for the store's answer, whose own head then answered the next request.
TEST(StoreBrokenAnswer, AnAnswerAfterInterimHeadsIsTheAnswer)
{
    const HttpResult result =
        callStore({Continue + Ok + "Content-Length: 2\r\n\r\n{}"}, false).back();
    EXPECT_TRUE(result.complete);
    EXPECT_EQ(result.response.status, 200U);
    EXPECT_EQ(result.response.body, "{}");
}

} // namespace boragepath
