#include "backends/backend_client.h"

#include "core/json_access.h"
#include "net/http_client.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/json.hpp>

namespace boragepath {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Milliseconds OrderTimeout{2'000};
constexpr unsigned HttpOk = 200;
constexpr unsigned HttpTooManyRequests = 429;
constexpr unsigned HttpUnavailable = 503;
/** A program is worth asking about once a server has not used it for this long. */
constexpr int HeldIdleSeconds = 20;

/** Collects the answer from the events of a stream. */
void noteEvent(const std::string &data, BackendOutcome &outcome)
{
    json::error_code error;
    const json::value value = json::parse(data, error);
    if (error || !value.is_object()) {
        return;
    }
    const json::object &event = value.get_object();
    const json::object *usage = objectAt(event, "usage");
    if (usage != nullptr) {
        outcome.usage.promptTokens = integerAt(*usage, "prompt_tokens");
        outcome.usage.completionTokens = integerAt(*usage, "completion_tokens");
        const json::object *details = objectAt(*usage, "prompt_tokens_details");
        if (details != nullptr) {
            outcome.usage.cachedTokens = integerAt(*details, "cached_tokens");
        }
    }
    const json::value *choices = event.if_contains("choices");
    if (choices == nullptr || !choices->is_array() || choices->get_array().empty()
        || !choices->get_array()[0].is_object()) {
        return;
    }
    const json::object &choice = choices->get_array()[0].get_object();
    const json::object *delta = objectAt(choice, "delta");
    if (delta != nullptr) {
        outcome.answer += stringAt(*delta, "content");
    }
    const std::string finish = stringAt(choice, "finish_reason");
    if (!finish.empty()) {
        outcome.finishReason = finish;
    }
}

HttpRequest requestOf(const BackendCall &call)
{
    HttpRequest request;
    request.method = "POST";
    request.target = call.path;
    request.body = call.body;
    request.fields.push_back({"Content-Type", "application/json"});
    request.fields.push_back({"Boragepath-Fence", absl::StrCat(call.fence.value())});
    if (!call.idempotencyKey.empty()) {
        request.fields.push_back({"Idempotency-Key", call.idempotencyKey});
    }
    return request;
}

/** A server that answers so has not run the request. */
bool isTurnedAway(unsigned status)
{
    return status == HttpTooManyRequests || status == HttpUnavailable;
}

/** The state of one call, shared by the parts of its stream. */
struct StreamState
{
    BackendOutcome outcome;
    ServerSentEventSplitter splitter;
    bool done = false;
    std::string plainBody;
};

asio::awaitable<bool> takeStreamPart(StreamState &state, const std::string &data,
                                     const StreamEventHandler &events)
{
    if (state.outcome.status != HttpOk) {
        state.plainBody += data;
        co_return true;
    }
    for (const std::string &event : state.splitter.addBytes(data)) {
        if (event == "[DONE]") {
            state.done = true;
            continue;
        }
        noteEvent(event, state.outcome);
        if (events) {
            state.outcome.forwarded = true;
            if (!co_await events(event)) {
                co_return false;
            }
        }
    }
    co_return true;
}

} // namespace

std::vector<std::string> ServerSentEventSplitter::addBytes(const std::string &bytes)
{
    m_rest += bytes;
    std::vector<std::string> events;
    std::size_t start = 0;
    for (;;) {
        const std::size_t end = m_rest.find("\n\n", start);
        if (end == std::string::npos) {
            break;
        }
        std::string data;
        const std::vector<std::string> lines =
            absl::StrSplit(m_rest.substr(start, end - start), '\n');
        for (const std::string &line : lines) {
            if (absl::StartsWith(line, "data:")) {
                const std::size_t skip = absl::StartsWith(line, "data: ") ? 6 : 5;
                data += line.substr(skip);
            }
        }
        if (!data.empty()) {
            events.push_back(std::move(data));
        }
        start = end + 2;
    }
    m_rest.erase(0, start);
    return events;
}

asio::awaitable<BackendOutcome> runBackendCall(BackendCall call, const Clock &clock,
                                               StreamEventHandler events)
{
    StreamState state;
    HttpResponseSink sink;
    sink.onHeader = [&](const HttpResponse &header) -> asio::awaitable<bool> {
        state.outcome.status = header.status;
        co_return true;
    };
    sink.onData = [&](const std::string &data) -> asio::awaitable<bool> {
        if (call.isService) {
            state.plainBody += data;
            co_return true;
        }
        co_return co_await takeStreamPart(state, data, events);
    };
    const auto maySend = [&] { return call.idempotent || clock.now() < call.sendBefore; };
    const HttpResult result = co_await httpStream(call.replica.endpoint, requestOf(call),
                                                  call.responseIdleTimeout, sink, maySend);
    BackendOutcome outcome = std::move(state.outcome);
    outcome.sent = result.sent;
    outcome.error = result.error;
    outcome.complete = result.complete;
    if (!result.complete) {
        co_return outcome;
    }
    if (isTurnedAway(outcome.status)) {
        outcome.complete = false;
        outcome.sent = false;
        outcome.error = absl::StrCat("turned away with status ", outcome.status);
        co_return outcome;
    }
    if (call.isService) {
        outcome.answer = std::move(state.plainBody);
        co_return outcome;
    }
    if (outcome.status != HttpOk || !state.done) {
        outcome.complete = false;
        outcome.error = outcome.status == HttpOk
            ? "the stream ended early"
            : absl::StrCat("status ", outcome.status, ": ", state.plainBody);
    }
    co_return outcome;
}

asio::awaitable<bool> releaseAtBackend(Endpoint endpoint, ProgramKey program)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/release";
    request.fields.push_back({"Content-Type", "application/json"});
    request.body = json::serialize(json::object{
        {"program", absl::StrCat(program.entry.value(), "/", program.program.value())}});
    const HttpResult result =
        co_await httpCall(std::move(endpoint), std::move(request), OrderTimeout);
    co_return result.complete &&result.response.status == HttpOk;
}

asio::awaitable<BackendStatus> readBackendStatus(Endpoint endpoint)
{
    BackendStatus status;
    HttpRequest request;
    request.target = absl::StrCat("/v1/status?idle_s=", HeldIdleSeconds);
    const HttpResult result =
        co_await httpCall(std::move(endpoint), std::move(request), OrderTimeout);
    if (!result.complete || result.response.status != HttpOk) {
        co_return status;
    }
    json::error_code error;
    const json::value value = json::parse(result.response.body, error);
    if (error || !value.is_object()) {
        co_return status;
    }
    status.answered = true;
    const json::object &object = value.get_object();
    const json::value *leaving = object.if_contains("leaving");
    status.leaving = leaving != nullptr && leaving->is_bool() && leaving->get_bool();
    const json::value *held = object.if_contains("held");
    if (held != nullptr && held->is_array()) {
        for (const json::value &item : held->get_array()) {
            if (!item.is_string()) {
                continue;
            }
            const std::string text(item.get_string().data(), item.get_string().size());
            const std::size_t slash = text.find('/');
            if (slash != std::string::npos) {
                status.held.push_back(
                    {EntryName(text.substr(0, slash)), ProgramId(text.substr(slash + 1))});
            }
        }
    }
    co_return status;
}

} // namespace boragepath
