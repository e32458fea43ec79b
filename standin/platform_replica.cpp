#include "standin/platform_replica.h"

#include "core/hash.h"
#include "net/beast_messages.h"
#include "net/sleep.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
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

constexpr int MinEventCount = 3;
constexpr int EventCountRange = 6;
constexpr std::size_t MaxRunsKept = 10'000;
constexpr Milliseconds ProcessingTime{15};
/** Of a slow request, before each event of a stream or before its only answer. */
constexpr Milliseconds SlowEventTime{200};
constexpr Milliseconds SlowAnswerTime{1'000};

asio::awaitable<bool> write(const std::shared_ptr<tcp::socket> &socket, std::string bytes)
{
    boost::system::error_code error;
    co_await asio::async_write(*socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

std::string chunk(const std::string &data)
{
    return absl::StrCat(absl::Hex(data.size()), "\r\n", data, "\r\n");
}

/** Between the id of a stream and the version that writes it, in the data of events. */
constexpr const char *VersionMark = " at ";
constexpr const char *NumberMark = " says ";
constexpr const char *SealPrefix = "seal of ";

/** The request with which a stream began: this one, unless it goes on with another's. */
std::string firstAttemptOf(const HttpRequest &request)
{
    const std::string resumed = request.headerValue("Resumes");
    return resumed.empty() ? request.headerValue("Attempt-Id") : resumed;
}

/** Part of the targets of requests that crash replicas. */
constexpr const char *CrashMark = "/crash";

bool isStream(const HttpRequest &request)
{
    return request.target.starts_with("/turn/") || request.target.starts_with("/read/");
}

/** Time before each event of a stream, or before its only answer. */
Milliseconds processingTimeOf(const HttpRequest &request)
{
    if (request.target.find(PlatformReplica::SlowMark) == std::string::npos) {
        return ProcessingTime;
    }
    return isStream(request) ? SlowEventTime : SlowAnswerTime;
}

} // namespace

CallerIdentity callerIdentityOf(const HttpRequest &request)
{
    return {request.headerValues("Tenant"), !request.headerValues("Credential").empty()};
}

int ReplicaAnswers::eventCount(const std::string &firstAttempt)
{
    return MinEventCount + static_cast<int>(hashOf(firstAttempt) % EventCountRange);
}

std::string ReplicaAnswers::eventData(const std::string &firstAttempt, const std::string &version,
                                      int number)
{
    return absl::StrCat(firstAttempt, VersionMark, version, NumberMark, number);
}

std::string ReplicaAnswers::versionOf(const std::string &eventData)
{
    const std::size_t mark = eventData.find(VersionMark);
    const std::size_t end = eventData.find(NumberMark);
    if (mark == std::string::npos || end == std::string::npos || end < mark) {
        return "";
    }
    const std::size_t start = mark + std::string(VersionMark).size();
    return eventData.substr(start, end - start);
}

std::string ReplicaAnswers::seal(const std::string &replica)
{
    return absl::StrCat(SealPrefix, replica);
}

std::string ReplicaAnswers::replicaOf(const std::string &seal)
{
    return std::string(absl::StripPrefix(seal, SealPrefix));
}

std::string ReplicaAnswers::fullBody(const std::string &attempt)
{
    return absl::StrCat("the answer to ", attempt);
}

PlatformReplica::PlatformReplica(asio::io_context &context, const Endpoint &endpoint,
                                 ReplicaIdentity identity, OnRequestRun onRequestRun,
                                 std::uint64_t seed)
    : m_context(context)
    , m_acceptor(context, {asio::ip::make_address(endpoint.address), endpoint.port})
    , m_identity(std::move(identity))
    , m_onRequestRun(std::move(onRequestRun))
    , m_random(seed)
{
    asio::co_spawn(m_context, accept(), asio::detached);
}

std::string PlatformReplica::responseHead(const std::string &status, const std::string &attempt,
                                          bool hasSeal) const
{
    const std::string seal =
        hasSeal ? absl::StrCat("Replica-Seal: ", ReplicaAnswers::seal(id()), "\r\n") : "";
    const std::string limit =
        m_limit.has_value() ? absl::StrCat("Server-Limit: ", *m_limit, "\r\n") : "";
    return absl::StrCat("HTTP/1.1 ", status, "\r\nAttempt-Id: ", attempt, "\r\n", seal,
                        m_leaving ? "Server-Leaving: 1\r\n" : "", limit,
                        "Replica-Load: ", m_running, ",0,", Slots, "\r\n");
}

std::string PlatformReplica::refusal(const std::string &status, const std::string &attempt) const
{
    return absl::StrCat(responseHead(status, attempt, false),
                        "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
}

std::string PlatformReplica::completeResponse(const std::string &attempt,
                                              const std::string &body) const
{
    return absl::StrCat(responseHead("200 OK", attempt, true), "Content-Length: ", body.size(),
                        "\r\n\r\n", body);
}

bool PlatformReplica::crashesReplicas(const std::string &target)
{
    return target.find(CrashMark) != std::string::npos;
}

void PlatformReplica::stop()
{
    boost::system::error_code ignored;
    m_stopped = true;
    m_acceptor.close(ignored);
    for (const auto &open : m_sockets) {
        if (const Socket socket = open.lock()) {
            socket->close(ignored);
        }
    }
}

bool PlatformReplica::withProbability(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
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
        std::erase_if(m_sockets, [](const auto &open) { return open.expired(); });
        m_sockets.push_back(socket);
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
        const bool keepOpen = co_await handleRequest(socket, request);
        m_running -= 1;
        if (!keepOpen) {
            socket->close(error);
            co_return;
        }
    }
}

asio::awaitable<bool> PlatformReplica::handleRequest(Socket socket, const HttpRequest &request)
{
    const std::string attempt = request.headerValue("Attempt-Id");
    if (m_onReceive) {
        m_onReceive(request, id());
    }
    const std::string expected = request.headerValue("Expect-Replica");
    if (!expected.empty() && expected != id()) {
        const std::string misdirected = refusal("421 Misdirected", attempt);
        co_return co_await write(socket, misdirected);
    }
    if (m_running > Slots || withProbability(m_faults.refusesBeforeRun)) {
        const std::string busy = refusal("503 Busy", attempt);
        co_return co_await write(socket, busy);
    }
    m_runs.push_back({attempt, callerIdentityOf(request)});
    if (m_runs.size() > MaxRunsKept) {
        m_runs.pop_front();
    }
    m_onRequestRun(request, id());
    const bool keepsOpen = co_await run(socket, request);
    m_onRunEnd(request, m_stopped);
    co_return keepsOpen;
}

asio::awaitable<bool> PlatformReplica::run(Socket socket, const HttpRequest &request)
{
    co_await sleepFor(processingTimeOf(request) + m_faults.delay);
    if (crashesReplicas(request.target)) {
        if (m_onCrash) {
            m_onCrash();
        }
        co_return false;
    }
    if (withProbability(m_faults.losesAnswers)) {
        co_return false;
    }
    if (withProbability(m_faults.refusesAfterRun)) {
        const std::string unclearRefusal =
            absl::StrCat(responseHead("503 Busy", request.headerValue("Attempt-Id"), false),
                         "Content-Length: 0\r\n\r\n");
        co_return co_await write(socket, unclearRefusal);
    }
    if (isStream(request)) {
        co_return co_await sendStream(socket, request);
    }
    co_return co_await sendAnswer(socket, request);
}

asio::awaitable<bool> PlatformReplica::sendAnswer(Socket socket, const HttpRequest &request)
{
    const std::string attempt = request.headerValue("Attempt-Id");
    const std::string response = completeResponse(attempt, ReplicaAnswers::fullBody(attempt));
    if (withProbability(m_faults.truncatesAnswers)) {
        const std::string truncated = response.substr(0, response.size() - 3);
        co_await write(socket, truncated);
        co_return false;
    }
    if (withProbability(m_faults.sendsExtraAnswers)) {
        const std::string other = completeResponse("another", "of no request");
        const std::string both = withProbability(0.5) ? other + response : response + other;
        co_return co_await write(socket, both);
    }
    co_return co_await write(socket, response);
}

asio::awaitable<bool> PlatformReplica::sendStream(Socket socket, const HttpRequest &request)
{
    const std::string attempt = request.headerValue("Attempt-Id");
    const std::string firstAttempt = firstAttemptOf(request);
    int lastEventId = 0;
    const std::string last = request.headerValue("Last-Event-Id");
    if (!last.empty() && !absl::SimpleAtoi(last, &lastEventId)) {
        co_return false;
    }
    const std::string head = absl::StrCat(responseHead("200 OK", attempt, true),
                                          "Content-Type: text/event-stream\r\n"
                                          "Transfer-Encoding: chunked\r\n\r\n");
    bool open = co_await write(socket, head);
    const int count = ReplicaAnswers::eventCount(firstAttempt);
    for (int number = lastEventId + 1; open && number <= count; ++number) {
        co_await sleepFor(processingTimeOf(request) + m_faults.delay);
        const std::string event =
            chunk(absl::StrCat("id: ", number, "\ndata: ",
                               ReplicaAnswers::eventData(firstAttempt, version(), number), "\n\n"));
        if (withProbability(m_faults.truncatesAnswers / count)) {
            const std::string truncated = event.substr(0, event.size() / 2);
            co_await write(socket, truncated);
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
