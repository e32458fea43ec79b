#include "callers/answers.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace boragepath {

namespace json = boost::json;

namespace {

constexpr std::int64_t MillisPerSecond = 1'000;

std::string toString(std::string_view text)
{
    return std::string(text);
}

json::object refusalObject(const Refusal &refusal, CallNumber nextCall)
{
    json::object error{
        {"message", refusal.message},
        {"type", toString(reasonName(refusal.reason))},
        {"code", toString(reasonName(refusal.reason))},
    };
    if (!refusal.field.empty()) {
        error["param"] = refusal.field;
    }
    json::object extension{{"verdict", toString(verdictName(refusal.verdict))}};
    if (nextCall != CallNumber()) {
        extension["next_call"] = nextCall.value();
    }
    if (refusal.retryAfter.count() > 0) {
        extension["retry_after_ms"] = refusal.retryAfter.count();
    }
    return {{"error", std::move(error)}, {"boragepath", std::move(extension)}};
}

json::object usageObject(const Usage &usage)
{
    return {
        {"prompt_tokens", usage.promptTokens},
        {"completion_tokens", usage.completionTokens},
        {"total_tokens", usage.promptTokens + usage.completionTokens},
        {"prompt_tokens_details", json::object{{"cached_tokens", usage.cachedTokens}}},
    };
}

json::object extensionObject(const CallAnswer &answer)
{
    return {
        {"verdict", toString(verdictName(answer.turn.verdict))},
        {"call", answer.turn.number.value()},
        {"next_call", answer.nextCall.value()},
        {"replayed", answer.replayed},
        {"replica", answer.turn.replica.value()},
    };
}

std::string answerId(const CallAnswer &answer)
{
    return absl::StrCat("call-", answer.turn.number.value());
}

void addExtensionFields(HttpResponse &response, const CallAnswer &answer)
{
    response.fields.push_back({"Boragepath-Verdict", toString(verdictName(answer.turn.verdict))});
    response.fields.push_back({"Boragepath-Next-Call", absl::StrCat(answer.nextCall.value())});
}

} // namespace

HttpResponse refusalResponse(const Refusal &refusal, CallNumber nextCall)
{
    HttpResponse response;
    response.status = httpStatusOf(refusal.reason);
    response.fields.push_back({"Content-Type", "application/json"});
    response.fields.push_back({"Boragepath-Verdict", toString(verdictName(refusal.verdict))});
    if (refusal.retryAfter.count() > 0) {
        const std::int64_t seconds =
            (refusal.retryAfter.count() + MillisPerSecond - 1) / MillisPerSecond;
        response.fields.push_back({"Retry-After", absl::StrCat(seconds)});
    }
    response.body = json::serialize(refusalObject(refusal, nextCall));
    return response;
}

HttpResponse resultResponse(const CallAnswer &answer)
{
    HttpResponse response;
    response.status = answer.turn.status == 0 ? 200 : answer.turn.status;
    response.fields.push_back({"Content-Type", "application/json"});
    addExtensionFields(response, answer);
    if (answer.turn.isService) {
        response.body = answer.turn.answer;
        return response;
    }
    json::object choice{
        {"index", 0},
        {"message", json::object{{"role", "assistant"}, {"content", answer.turn.answer}}},
        {"finish_reason", answer.turn.finishReason},
    };
    response.body = json::serialize(json::object{
        {"id", answerId(answer)},
        {"object", "chat.completion"},
        {"created", answer.turn.endedUnixMillis / MillisPerSecond},
        {"model", answer.turn.pool.value()},
        {"choices", json::array{std::move(choice)}},
        {"usage", usageObject(answer.turn.usage)},
        {"boragepath", extensionObject(answer)},
    });
    return response;
}

HttpResponse streamHeader()
{
    HttpResponse header;
    header.fields.push_back({"Content-Type", "text/event-stream"});
    header.fields.push_back({"Cache-Control", "no-store"});
    return header;
}

std::string eventText(const std::string &data)
{
    return absl::StrCat("data: ", data, "\n\n");
}

std::string finalStreamEvents(const CallAnswer &answer)
{
    std::string text;
    if (answer.refusal.has_value()) {
        return eventText(json::serialize(refusalObject(*answer.refusal, answer.nextCall)));
    }
    if (answer.replayed) {
        json::object choice{
            {"index", 0},
            {"delta", json::object{{"role", "assistant"}, {"content", answer.turn.answer}}},
            {"finish_reason", answer.turn.finishReason},
        };
        text += eventText(json::serialize(json::object{
            {"id", answerId(answer)},
            {"object", "chat.completion.chunk"},
            {"model", answer.turn.pool.value()},
            {"choices", json::array{std::move(choice)}},
        }));
    }
    text += eventText(json::serialize(json::object{
        {"id", answerId(answer)},
        {"object", "chat.completion.chunk"},
        {"model", answer.turn.pool.value()},
        {"choices", json::array{}},
        {"usage", usageObject(answer.turn.usage)},
        {"boragepath", extensionObject(answer)},
    }));
    return text + eventText("[DONE]");
}

} // namespace boragepath
