#include "load/caller_client.h"

#include "core/json_access.h"
#include "net/event_stream_parser.h"
#include "net/http_client.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace boragepath {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr Milliseconds ResponseIdleTimeout{30'000};
constexpr Milliseconds AddressTimeout{1'000};
constexpr Milliseconds MinRetryDelay{200};

/** Reads the "boragepath", "error" and "usage" objects of a JSON answer into @p report. */
void readStatusFields(const json::object &object, CallReport &report)
{
    const json::object *callStatus = objectAt(object, "boragepath");
    if (callStatus != nullptr) {
        report.answered = true;
        report.verdict = stringAt(*callStatus, "verdict");
        report.nextCall = static_cast<int>(integerAt(*callStatus, "next_call"));
        report.retryAfter = Milliseconds(integerAt(*callStatus, "retry_after_ms"));
        report.replayed = flagAt(*callStatus, "replayed");
    }
    const json::object *error = objectAt(object, "error");
    if (error != nullptr) {
        report.reason = stringAt(*error, "code");
    }
    const json::object *usage = objectAt(object, "usage");
    if (usage != nullptr) {
        report.promptTokens = integerAt(*usage, "prompt_tokens");
        const json::object *details = objectAt(*usage, "prompt_tokens_details");
        report.cachedTokens = details == nullptr ? 0 : integerAt(*details, "cached_tokens");
    }
}

void readStreamEvent(const std::string &data, CallReport &report)
{
    json::error_code error;
    const json::value value = json::parse(data, error);
    if (error || !value.is_object()) {
        return;
    }
    const json::object &event = value.get_object();
    readStatusFields(event, report);
    const json::value *choices = event.if_contains("choices");
    if (choices != nullptr && choices->is_array() && !choices->get_array().empty()) {
        const json::object *delta = objectAt(choices->get_array()[0].get_object(), "delta");
        report.answer += delta == nullptr ? "" : stringAt(*delta, "content");
    }
}

void readWholeResponse(const HttpResponse &response, const std::string &body, CallReport &report)
{
    json::error_code error;
    const json::value value = json::parse(body, error);
    if (!error && value.is_object()) {
        readStatusFields(value.get_object(), report);
    }
    const std::string verdict = response.headerValue("Boragepath-Verdict");
    if (!verdict.empty()) {
        report.answered = true;
        report.verdict = verdict;
    }
    int nextCall = 0;
    if (absl::SimpleAtoi(response.headerValue("Boragepath-Next-Call"), &nextCall)) {
        report.nextCall = nextCall;
    }
    if (report.answer.empty() && report.reason.empty()) {
        report.answer = body;
    }
}

} // namespace

HttpRequest buildRequest(const CallSpec &spec)
{
    HttpRequest request;
    request.method = "POST";
    request.fields = {
        {"Content-Type", "application/json"},
        {"Authorization", "Bearer " + spec.key},
        {"Boragepath-Entry", spec.entry},
        {"Boragepath-Program", spec.program},
        {"Boragepath-Call", absl::StrCat(spec.number)},
    };
    if (spec.last) {
        request.fields.push_back({"Boragepath-Final", "true"});
    }
    if (!spec.parent.empty()) {
        request.fields.push_back({"Boragepath-Parent", spec.parent});
    }
    if (!spec.idempotencyKey.empty()) {
        request.fields.push_back({"Boragepath-Non-Idempotent", "true"});
        request.fields.push_back({"Idempotency-Key", spec.idempotencyKey});
    }
    if (!spec.servicePath.empty()) {
        request.target = "/v1/services/" + spec.servicePath;
        request.body = spec.content;
        return request;
    }
    request.target = "/v1/chat/completions";
    json::array messages;
    if (!spec.systemText.empty()) {
        messages.push_back(json::object{{"role", "system"}, {"content", spec.systemText}});
    }
    messages.push_back(json::object{{"role", "user"}, {"content", spec.content}});
    request.body = json::serialize(json::object{
        {"model", spec.model},
        {"stream", true},
        {"max_tokens", spec.maxTokens},
        {"messages", std::move(messages)},
    });
    return request;
}

CallerClient::CallerClient(std::vector<Endpoint> seeds, std::uint64_t seed)
    : m_seeds(std::move(seeds))
    , m_random(seed)
{ }

asio::awaitable<Endpoint> CallerClient::resolveAddress(const CallSpec &spec, int attempt)
{
    const std::string name = spec.entry + "/" + spec.program;
    const auto cached = m_addressCache.find(name);
    if (attempt == 0 && cached != m_addressCache.end()
        && SteadyClock::now() < cached->second.until) {
        co_return cached->second.endpoints.front();
    }
    HttpRequest request;
    request.target = absl::StrCat("/v1/address?entry=", spec.entry, "&program=", spec.program);
    const Endpoint seed = m_seeds[m_random() % m_seeds.size()];
    const HttpResult result = co_await httpCall(seed, request, AddressTimeout);
    json::error_code error;
    const json::value value = json::parse(result.response.body, error);
    if (!result.complete || error || !value.is_object()) {
        co_return seed;
    }
    CachedAddresses found;
    const json::value *addresses = value.get_object().if_contains("addresses");
    if (addresses != nullptr && addresses->is_array()) {
        for (const json::value &item : addresses->get_array()) {
            const auto endpoint =
                parseEndpoint(std::string(item.get_string().data(), item.get_string().size()));
            if (endpoint.ok()) {
                found.endpoints.push_back(*endpoint);
            }
        }
    }
    if (found.endpoints.empty()) {
        co_return seed;
    }
    found.until = SteadyClock::now() + Milliseconds(integerAt(value.get_object(), "ttl_ms"));
    const std::size_t choice = static_cast<std::size_t>(attempt) % found.endpoints.size();
    const Endpoint endpoint = found.endpoints[choice];
    m_addressCache[name] = std::move(found);
    co_return endpoint;
}

asio::awaitable<CallReport> CallerClient::callOnce(const CallSpec &spec, Endpoint endpoint)
{
    CallReport report;
    EventStreamParser scanner;
    std::string plainBody;
    bool streaming = false;
    const auto started = SteadyClock::now();
    auto lastToken = started;
    HttpResponseSink sink;
    sink.onHeader = [&](const HttpResponse &header) -> asio::awaitable<bool> {
        report.status = header.status;
        streaming = header.headerValue("Content-Type") == "text/event-stream";
        co_return true;
    };
    sink.onData = [&](const std::string &data) -> asio::awaitable<bool> {
        if (!streaming) {
            plainBody += data;
            co_return true;
        }
        const auto now = SteadyClock::now();
        if (report.firstToken == Duration(0)) {
            report.firstToken = now - started;
        } else {
            report.longestGap = std::max<Duration>(report.longestGap, now - lastToken);
        }
        lastToken = now;
        scanner.add(data);
        while (const std::optional<StreamEvent> event = scanner.next()) {
            readStreamEvent(event->data, report);
        }
        co_return true;
    };
    const HttpResult result =
        co_await httpStream(std::move(endpoint), buildRequest(spec), ResponseIdleTimeout, sink);
    if (result.complete && !streaming) {
        readWholeResponse(result.response, plainBody, report);
    }
    if (!result.complete) {
        report.answered = false;
        report.reason = result.error;
    }
    co_return report;
}

asio::awaitable<CallReport> CallerClient::call(CallSpec spec, Milliseconds timeout)
{
    const auto started = SteadyClock::now();
    for (int attempt = 0;; ++attempt) {
        const Endpoint endpoint = co_await resolveAddress(spec, attempt);
        CallReport report = co_await callOnce(spec, endpoint);
        report.attempts = attempt + 1;
        report.duration = SteadyClock::now() - started;
        report.endedUnixMillis = unixMillis(std::chrono::system_clock::now());
        // Calls are numbered, so a call whose answer was lost may be sent again: the
        // scheduler runs it at most once more, or answers from its record.
        const bool unanswered = !report.answered;
        const bool unknownButIdempotent =
            report.verdict == "may-have-run" && report.reason != "outcome-unknown";
        const bool retryRequested = report.verdict == "not-run" && report.retryAfter.count() > 0;
        if (!unanswered && !retryRequested && !unknownButIdempotent) {
            co_return report;
        }
        const Milliseconds pause = std::max(report.retryAfter, MinRetryDelay);
        if (SteadyClock::now() + pause >= started + timeout) {
            co_return report;
        }
        asio::steady_timer timer(co_await asio::this_coro::executor, pause);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<bool> CallerClient::end(CallSpec spec)
{
    HttpRequest request;
    request.method = "DELETE";
    request.target = "/v1/programs/" + spec.program;
    request.fields = {{"Authorization", "Bearer " + spec.key}, {"Boragepath-Entry", spec.entry}};
    const Endpoint endpoint = co_await resolveAddress(spec, 0);
    const HttpResult result = co_await httpCall(endpoint, request, ResponseIdleTimeout);
    co_return result.complete &&result.response.status == 200;
}

} // namespace boragepath
