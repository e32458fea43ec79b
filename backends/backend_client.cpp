#include "backends/backend_client.h"

#include "control/records.h"
#include "core/json_access.h"
#include "net/event_stream_parser.h"
#include "net/http_client.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/json.hpp>

namespace boragepath {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/** For release and status requests. */
constexpr Milliseconds ControlRequestTimeout{2'000};
constexpr unsigned HttpOk = 200;
constexpr unsigned HttpTooManyRequests = 429;
constexpr unsigned HttpUnavailable = 503;
/** Servers report the programs that they have not used for this long. */
constexpr int IdleProgramSeconds = 20;
/** Data of the event that ends a stream. */
constexpr const char *EndMarker = "[DONE]";
constexpr const char *AnswerTooLong = "the answer is too long";
/** Longest body of an error status, which only the log and the caller's error text show. */
constexpr std::size_t MaxErrorBodyBytes = 16UL * 1024;

/** The object that an event holds; empty if it holds another text. */
json::object objectOf(const StreamEvent &event)
{
    json::error_code error;
    json::value value = json::parse(event.data, error);
    return error || !value.is_object() ? json::object() : std::move(value.get_object());
}

/** Why a stream broke off at this event, though more may follow; empty if it did not. */
std::string problemOf(const StreamEvent &event, const json::object &data)
{
    if (event.hasStatusLine) {
        return "another answer within the stream";
    }
    const json::object *error = objectAt(data, "error");
    if (error == nullptr) {
        return "";
    }
    return absl::StrCat("error within the stream: ", stringAt(*error, "message"));
}

/** Adds one event of a stream to the answer, its usage and its finish reason. */
void recordEvent(const json::object &event, BackendOutcome &outcome)
{
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

HttpRequest makeRequest(const BackendCall &call)
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

/** A server that answers with this status has not run the request. */
bool isRejected(unsigned status)
{
    return status == HttpTooManyRequests || status == HttpUnavailable;
}

/** An answer that no row can hold is not stored, whether it is complete or not. */
void dropAnswerIfTooLong(BackendOutcome &outcome)
{
    if (serializedSize(outcome.answer) > MaxStoredTextBytes) {
        outcome.answer.clear();
        outcome.complete = false;
        outcome.error = AnswerTooLong;
    }
}

/** The state of one call while its response arrives. */
struct StreamState
{
    explicit StreamState(ReceiveBudget &received)
        : held(received)
    { }

    /** Accounts for what is held; sets a problem and returns false if that is too much. */
    bool hold()
    {
        const std::size_t answerBytes = outcome.answer.size() + rawBody.size();
        const bool isErrorTooLong = outcome.status != HttpOk && rawBody.size() > MaxErrorBodyBytes;
        if (answerBytes > MaxStoredTextBytes || scanner.pendingBytes() > MaxEventBytes
            || isErrorTooLong) {
            problem = AnswerTooLong;
        } else if (!held.resize(answerBytes + scanner.pendingBytes())) {
            problem = "no room for the answer";
        }
        return problem.empty();
    }

    HeldBytes held;
    /** Why the answer was not read to its end; empty if it was. */
    std::string problem;
    BackendOutcome outcome;
    EventStreamParser scanner;
    /** The end marker of the stream has arrived. */
    bool done = false;
    /** The body of a service's answer or of an error status. */
    std::string rawBody;
};

asio::awaitable<bool> handleStreamData(StreamState &state, const std::string &bytes,
                                       const StreamEventHandler &events)
{
    if (state.outcome.status != HttpOk) {
        state.rawBody += bytes;
        co_return state.hold();
    }
    state.scanner.add(bytes);
    while (std::optional<StreamEvent> event = state.scanner.next()) {
        if (state.done) {
            continue;
        }
        const json::object data = objectOf(*event);
        state.problem = problemOf(*event, data);
        if (!state.problem.empty()) {
            co_return false;
        }
        if (event->data == EndMarker) {
            state.done = true;
        }
        if (event->data.empty() || state.done) {
            continue;
        }
        recordEvent(data, state.outcome);
        if (events) {
            state.outcome.forwarded = true;
            if (!co_await events(event->data)) {
                co_return false;
            }
        }
    }
    co_return state.hold();
}

} // namespace

asio::awaitable<BackendOutcome> runBackendCall(BackendCall call, const Clock &clock,
                                               StreamEventHandler events, ReceiveBudget &received)
{
    StreamState state(received);
    HttpResponseSink sink;
    sink.onHeader = [&](const HttpResponse &header) -> asio::awaitable<bool> {
        state.outcome.status = header.status;
        co_return true;
    };
    sink.onData = [&](const std::string &data) -> asio::awaitable<bool> {
        if (call.isService) {
            state.rawBody += data;
            co_return state.hold();
        }
        co_return co_await handleStreamData(state, data, events);
    };
    const auto maySend = [&] { return call.idempotent || clock.now() < call.sendBefore; };
    const HttpResult result = co_await httpStream(call.replica.endpoint, makeRequest(call),
                                                  call.responseIdleTimeout, sink, maySend);
    BackendOutcome outcome = std::move(state.outcome);
    outcome.sent = result.sent;
    outcome.error = state.problem.empty() ? result.error : state.problem;
    outcome.complete = result.complete;
    if (!result.complete) {
        dropAnswerIfTooLong(outcome);
        co_return outcome;
    }
    if (isRejected(outcome.status)) {
        outcome.complete = false;
        outcome.sent = false;
        outcome.error = absl::StrCat("turned away with status ", outcome.status);
        co_return outcome;
    }
    if (call.isService) {
        outcome.answer = std::move(state.rawBody);
    }
    dropAnswerIfTooLong(outcome);
    if (call.isService) {
        co_return outcome;
    }
    if (outcome.status != HttpOk || !state.done) {
        outcome.complete = false;
        outcome.error = outcome.status == HttpOk
            ? "the stream ended early"
            : absl::StrCat("status ", outcome.status, ": ", state.rawBody);
    }
    co_return outcome;
}

asio::awaitable<bool> releaseAtBackend(Endpoint endpoint, ProgramKey program,
                                       ReceiveBudget &received)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/release";
    request.fields.push_back({"Content-Type", "application/json"});
    request.body = json::serialize(json::object{
        {"program", absl::StrCat(program.entry.value(), "/", program.program.value())}});
    const HttpResult result = co_await httpCall(std::move(endpoint), std::move(request),
                                                ControlRequestTimeout, &received);
    co_return result.complete &&result.response.status == HttpOk;
}

asio::awaitable<BackendStatus> readBackendStatus(Endpoint endpoint, ReceiveBudget &received)
{
    BackendStatus status;
    HttpRequest request;
    request.target = absl::StrCat("/v1/status?idle_s=", IdleProgramSeconds);
    const HttpResult result = co_await httpCall(std::move(endpoint), std::move(request),
                                                ControlRequestTimeout, &received);
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
