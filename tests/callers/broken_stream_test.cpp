// Streams and answers that break off while they are passed on to a caller of the product's own
// interface: at a backend server, or at the VM that owns the program.
//
// Guards against the text of an error in the middle of an event, and against a stream that ends as
// if it were complete.

#include "callers/caller_api.h"
#include "net/http_server.h"
#include "tests/support/closing_server.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <boost/asio/read.hpp>

#include <array>

namespace boragepath {

namespace {

namespace asio = boost::asio;

const Endpoint VmEndpoint{"127.0.0.9", 17'954};
/** The VM that owns the program, or a backend server. */
const Endpoint OtherEndpoint{"127.0.0.9", 17'955};
constexpr std::size_t ReceiveLimit = 1UL * 1024 * 1024;
const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string EventStream = "Content-Type: text/event-stream\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n";
const std::string OwnerStream = Ok + EventStream + Chunked + "\r\n";
const std::string LastChunk = "0\r\n\r\n";
const std::string Closed = "<closed>";

std::string event(const std::string &word)
{
    return R"(data: {"choices":[{"delta":{"content":")" + word + R"("}}]})" + "\n\n";
}

std::string chunk(const std::string &data)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
}

/** Hands each call to one backend server, or to the VM that owns its program. */
class OneServerGateway final : public CallGateway
{
public:
    explicit OneServerGateway(bool isOwner)
        : m_isOwner(isOwner)
    {
        m_settings.vm = VmId("vm");
        m_settings.connectionIdleTimeout = Milliseconds(5'000);
    }

    CallHandle submit(CallRequest request, std::shared_ptr<CallChannel> channel) override
    {
        m_channel = channel;
        if (m_isOwner) {
            send(OtherEndpoint);
            return {};
        }
        BackendCall call;
        call.replica.endpoint = OtherEndpoint;
        call.isService = request.isService;
        call.path = "/";
        call.responseIdleTimeout = Milliseconds(5'000);
        call.idempotent = true;
        send(call);
        return {};
    }

    void endProgram(ProgramKey, std::string, bool, std::shared_ptr<CallChannel> channel) override
    {
        m_channel = channel;
        send(OtherEndpoint);
    }

    void reportBackendOutcome(CallHandle, BackendOutcome outcome) override
    {
        CallAnswer answer;
        if (!outcome.complete) {
            answer.refusal = makeRefusal(Verdict::MayHaveRun, Reason::BackendFailed, outcome.error,
                                         Milliseconds(0));
        }
        answer.turn.status = outcome.status;
        answer.turn.answer = outcome.answer;
        send(answer);
    }

    void postToControlThread(std::function<void(Node &)>) override { }
    const Settings &settings() const override { return m_settings; }
    const Clock &clock() const override { return m_clock; }

private:
    void send(CallEvent event) { m_channel->try_send(boost::system::error_code(), event); }

    bool m_isOwner;
    Settings m_settings;
    SystemClock m_clock;
    std::shared_ptr<CallChannel> m_channel;
};

/** The answer has ended as its head says. */
bool isWhole(const std::string &answer)
{
    const std::size_t headEnd = answer.find("\r\n\r\n");
    const std::size_t length = answer.find("Content-Length: ");
    if (headEnd == std::string::npos || length >= headEnd) {
        return answer.find("\r\n" + LastChunk) != std::string::npos;
    }
    const std::size_t value = length + std::string("Content-Length: ").size();
    return answer.size() >= headEnd + 4 + std::stoul(answer.substr(value));
}

/** A caller's answer: all bytes up to the last chunk, or up to the end of the connection. */
std::string answerOf(const std::string &serverAnswer, bool isOwner, const std::string &request,
                     bool resets = false)
{
    asio::io_context context(1);
    OneServerGateway gateway(isOwner);
    Metrics metrics;
    ReceiveBudget received(ReceiveLimit);
    CallerApi api(gateway, metrics, received);
    HttpServer vm(context, HttpLimits(),
                  [&](const HttpRequest &incoming, HttpResponder &responder) {
                      return api.handle(incoming, responder);
                  });
    vm.listen(VmEndpoint);
    ClosingServer server(context, OtherEndpoint, serverAnswer, resets);
    std::string answer;
    const auto run = [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket(context);
        co_await socket.async_connect({asio::ip::make_address(VmEndpoint.address), VmEndpoint.port},
                                      asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
        boost::system::error_code error;
        std::array<char, 4'096> bytes{};
        while (!error && !isWhole(answer)) {
            const std::size_t size = co_await socket.async_read_some(
                asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
            answer.append(bytes.data(), size);
        }
        answer += error ? Closed : "";
        context.stop();
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    return answer;
}

std::string streamCall()
{
    const std::string body =
        R"({"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]})";
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n"
           "Boragepath-Entry: e\r\nBoragepath-Program: p\r\nBoragepath-Call: 1\r\n"
           "Content-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string serviceCall()
{
    return "POST /v1/services/s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n"
           "Boragepath-Entry: e\r\nBoragepath-Program: p\r\nBoragepath-Call: 1\r\n"
           "Content-Length: 2\r\n\r\n{}";
}

/** The data of a chunked body, without its end. */
std::string dataOf(const std::string &answer)
{
    std::string data;
    std::size_t position = answer.find("\r\n\r\n") + 4;
    while (position < answer.size() && answer.compare(position, Closed.size(), Closed) != 0) {
        const std::size_t size = std::stoul(answer.substr(position), nullptr, 16);
        position = answer.find("\r\n", position) + 2;
        data += answer.substr(position, size);
        position += size + 2;
    }
    return data;
}

bool endsAsComplete(const std::string &answer)
{
    return answer.find("\r\n" + LastChunk) != std::string::npos
        || answer.find("[DONE]") != std::string::npos;
}

} // namespace

TEST(OwnerBrokenStream, AWholeStreamArrivesUnchanged)
{
    const std::string events = event("one") + event("two") + "data: [DONE]\n\n";
    const std::string answer =
        answerOf(OwnerStream + chunk(events) + LastChunk, true, streamCall());
    EXPECT_EQ(dataOf(answer), events);
    EXPECT_THAT(answer, testing::EndsWith(LastChunk));
}

// The text of an error was written after the part of an event, and the stream ended as complete.
TEST(OwnerBrokenStream, AStreamThatBreaksOffHasWholeEventsOnlyAndNoEnd)
{
    const std::string beginning = OwnerStream + chunk(event("one"));
    const std::vector<std::string> cutStreams = {
        beginning,
        beginning + chunk("data: {\"choi"),
        beginning + chunk("data: {\"choices\":[]}\n"),
        beginning + "20\r\ndata: {\"ch",
        beginning + "2",
        beginning + "0\r\n",
        beginning + "0\r\nTrailer: x",
        beginning + Ok + "Content-Length: 5\r\n\r\nwrong",
        beginning + "HTTP/1.1 500 Error\r\nContent-Length: 5\r\n\r\nwrong",
        Ok + EventStream + "\r\n" + event("one") + "data: {\"choi",
        Ok + EventStream + "\r\n" + event("one") + Ok + "\r\n" + event("two"),
        Ok + EventStream + "Content-Length: 900\r\n\r\n" + event("one") + "data: {\"choi",
    };
    for (const std::string &bytes : cutStreams) {
        SCOPED_TRACE(bytes);
        const std::string answer = answerOf(bytes, true, streamCall());
        EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 200"));
        EXPECT_EQ(dataOf(answer), event("one"));
        EXPECT_FALSE(endsAsComplete(answer)) << answer;
        EXPECT_THAT(answer, testing::EndsWith(Closed));
    }
}

TEST(OwnerBrokenStream, AnAnswerThatStopsIsARefusalThatMayHaveRun)
{
    const std::vector<std::string> cutAnswers = {
        "",
        "HTTP/1.1 200 OK",
        Ok,
        Ok + "Content-Le",
        Ok + "Content-Type: text/eve",
        Ok + "Content-Length: 1",
        Ok + "Content-Length: 12\r\n\r",
        Ok + "Content-Length: 12\r\n\r\n",
        Ok + "Content-Length: 12\r\n\r\nwrong",
        Ok + Chunked + "\r\n5\r\nwrong\r\n",
        Ok + Chunked + "\r\n5\r\nwrong\r\n0",
        "HTTP/1.0 200 OK\r\nContent-Type: x\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" + Ok + EventStream,
    };
    for (const std::string &bytes : cutAnswers) {
        for (const bool resets : {false, true}) {
            for (const std::string &request : {streamCall(), serviceCall()}) {
                SCOPED_TRACE(testing::Message() << bytes << "|" << resets);
                const std::string answer = answerOf(bytes, true, request, resets);
                EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 503"));
                EXPECT_THAT(answer, testing::HasSubstr("Boragepath-Verdict: may-have-run"));
                EXPECT_THAT(answer, testing::Not(testing::HasSubstr("wrong")));
            }
        }
    }
}

// The caller got an end marker and the end of the body after the first part of an answer.
TEST(BackendBrokenStream, AStreamThatBreaksOffEndsWithItsVerdictAndNoEnd)
{
    const std::string beginning = OwnerStream + chunk(event("one"));
    const std::vector<std::string> cutStreams = {
        beginning,
        beginning + LastChunk,
        beginning + chunk("data: {\"choi"),
        beginning + "20\r\ndata: {\"ch",
        beginning + "HTTP/1.1 500 Error\r\nContent-Length: 5\r\n\r\nwrong",
        Ok + EventStream + "\r\n" + event("one") + "data: {\"choi",
        Ok + EventStream + "\r\n" + event("one"),
    };
    for (const std::string &bytes : cutStreams) {
        SCOPED_TRACE(bytes);
        const std::string answer = answerOf(bytes, false, streamCall());
        EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 200"));
        EXPECT_FALSE(endsAsComplete(answer)) << answer;
        EXPECT_THAT(answer, testing::EndsWith(Closed));
        const std::string data = dataOf(answer);
        ASSERT_THAT(data, testing::StartsWith(event("one") + "data: {\"error\":"));
        EXPECT_THAT(data, testing::HasSubstr(R"("verdict":"may-have-run")"));
        EXPECT_THAT(data, testing::EndsWith("}\n\n"));
    }
}

TEST(BackendBrokenStream, AnAnswerThatStopsBeforeItsFirstEventIsARefusal)
{
    for (const std::string &bytes :
         {std::string(), Ok, Ok + EventStream, OwnerStream, OwnerStream + "20\r\ndata: {\"ch",
          Ok + "Content-Length: 12\r\n\r\nwrong"}) {
        for (const std::string &request : {streamCall(), serviceCall()}) {
            SCOPED_TRACE(bytes);
            const std::string answer = answerOf(bytes, false, request);
            EXPECT_THAT(answer, testing::StartsWith("HTTP/1.1 502"));
            EXPECT_THAT(answer, testing::HasSubstr("Boragepath-Verdict: may-have-run"));
        }
    }
}

} // namespace boragepath
