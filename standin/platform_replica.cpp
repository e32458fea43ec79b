#include "standin/platform_replica.h"

#include "core/hash.h"
#include "net/beast_messages.h"
#include "net/sleep.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace boragepath {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr int FewestEvents = 3;
constexpr int EventSpread = 6;
constexpr int Slots = 8;
constexpr Milliseconds WorkTime{15};

asio::awaitable<bool> write(const std::shared_ptr<tcp::socket> &socket, std::string bytes)
{
    boost::system::error_code error;
    co_await asio::async_write(*socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

std::string headOf(const std::string &status, const std::string &attempt, bool sealed, int running)
{
    return absl::StrCat("HTTP/1.1 ", status, "\r\nAttempt-Id: ", attempt, "\r\n",
                        sealed ? "Replica-Seal: seal\r\n" : "", "Replica-Load: ", running, ",0,",
                        Slots, "\r\n");
}

std::string wholeAnswer(const std::string &attempt, const std::string &body, int running)
{
    return absl::StrCat(headOf("200 OK", attempt, true, running), "Content-Length: ", body.size(),
                        "\r\n\r\n", body);
}

std::string chunk(const std::string &data)
{
    return absl::StrCat(absl::Hex(data.size()), "\r\n", data, "\r\n");
}

bool isStream(const HttpRequest &request)
{
    return request.target.starts_with("/turn/") || request.target.starts_with("/read/");
}

} // namespace

int ReplicaAnswers::eventCount(const std::string &attempt)
{
    return FewestEvents + static_cast<int>(hashOf(attempt) % EventSpread);
}

std::string ReplicaAnswers::eventData(const std::string &attempt, int number)
{
    return absl::StrCat(attempt, " says ", number);
}

std::string ReplicaAnswers::wholeBody(const std::string &attempt)
{
    return absl::StrCat("the answer to ", attempt);
}

PlatformReplica::PlatformReplica(asio::io_context &context, const Endpoint &endpoint,
                                 std::string id, Ran ran, std::uint64_t seed)
    : m_context(context)
    , m_acceptor(context, {asio::ip::make_address(endpoint.address), endpoint.port})
    , m_id(std::move(id))
    , m_ran(std::move(ran))
    , m_random(seed)
{
    asio::co_spawn(m_context, accept(), asio::detached);
}

void PlatformReplica::stop()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto &open : m_open) {
        if (const Socket socket = open.lock()) {
            socket->close(ignored);
        }
    }
}

bool PlatformReplica::happens(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

asio::awaitable<void> PlatformReplica::accept()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        auto socket = std::make_shared<tcp::socket>(
            co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error)));
        if (error) {
            continue;
        }
        std::erase_if(m_open, [](const auto &open) { return open.expired(); });
        m_open.push_back(socket);
        asio::co_spawn(m_context, serve(socket), asio::detached);
    }
}

asio::awaitable<void> PlatformReplica::serve(Socket socket)
{
    beast::flat_buffer buffer;
    for (;;) {
        http::request<http::string_body> message;
        beast::error_code error;
        co_await http::async_read(*socket, buffer, message,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        HttpRequest request = requestHead(message);
        request.body = message.body();
        m_running += 1;
        const bool goesOn = co_await answer(socket, request);
        m_running -= 1;
        if (!goesOn) {
            socket->close(error);
            co_return;
        }
    }
}

asio::awaitable<bool> PlatformReplica::answer(Socket socket, const HttpRequest &request)
{
    const std::string attempt = request.headerValue("Attempt-Id");
    const std::string expected = request.headerValue("Expect-Replica");
    if (!expected.empty() && expected != m_id) {
        const std::string refusal =
            absl::StrCat(headOf("421 Misdirected", attempt, false, m_running),
                         "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        co_return co_await write(socket, refusal);
    }
    if (m_running > Slots || happens(m_faults.declines)) {
        const std::string refusal = absl::StrCat(headOf("503 Busy", attempt, false, m_running),
                                                 "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        co_return co_await write(socket, refusal);
    }
    m_ran(request, m_id);
    co_await sleepFor(WorkTime + m_faults.delay);
    if (happens(m_faults.loses)) {
        co_return false;
    }
    if (happens(m_faults.unclear)) {
        const std::string refusal = absl::StrCat(headOf("503 Busy", attempt, false, m_running),
                                                 "Content-Length: 0\r\n\r\n");
        co_return co_await write(socket, refusal);
    }
    if (isStream(request)) {
        co_return co_await stream(socket, request);
    }
    co_return co_await answerWhole(socket, request);
}

asio::awaitable<bool> PlatformReplica::answerWhole(Socket socket, const HttpRequest &request)
{
    const std::string attempt = request.headerValue("Attempt-Id");
    const std::string whole = wholeAnswer(attempt, ReplicaAnswers::wholeBody(attempt), m_running);
    if (happens(m_faults.breaksOff)) {
        const std::string part = whole.substr(0, whole.size() - 3);
        co_await write(socket, part);
        co_return false;
    }
    if (happens(m_faults.addsAnswers)) {
        const std::string other = wholeAnswer("another", "of no request", m_running);
        const std::string both = happens(0.5) ? other + whole : whole + other;
        co_return co_await write(socket, both);
    }
    co_return co_await write(socket, whole);
}

asio::awaitable<bool> PlatformReplica::stream(Socket socket, const HttpRequest &request)
{
    const std::string attempt = request.headerValue("Attempt-Id");
    int after = 0;
    const std::string last = request.headerValue("Last-Event-Id");
    if (!last.empty() && !absl::SimpleAtoi(last, &after)) {
        co_return false;
    }
    const std::string head = absl::StrCat(headOf("200 OK", attempt, true, m_running),
                                          "Content-Type: text/event-stream\r\n"
                                          "Transfer-Encoding: chunked\r\n\r\n");
    bool open = co_await write(socket, head);
    const int count = ReplicaAnswers::eventCount(attempt);
    for (int number = after + 1; open && number <= count; ++number) {
        co_await sleepFor(WorkTime + m_faults.delay);
        const std::string event = chunk(absl::StrCat(
            "id: ", number, "\ndata: ", ReplicaAnswers::eventData(attempt, number), "\n\n"));
        if (happens(m_faults.breaksOff / count)) {
            const std::string part = event.substr(0, event.size() / 2);
            co_await write(socket, part);
            co_return false;
        }
        open = co_await write(socket, event);
    }
    if (open) {
        open = co_await write(socket, "0\r\n\r\n");
    }
    co_return open;
}

} // namespace boragepath
