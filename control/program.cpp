#include "control/program.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace boragepath {

namespace {

/** Tokens that an engine may add around each message. */
constexpr std::int64_t TokensAroundMessage = 16;

std::string assistantMessage(const std::string &answer)
{
    return boost::json::serialize(boost::json::object{{"role", "assistant"}, {"content", answer}});
}

} // namespace

std::int64_t Program::historyTokens() const
{
    for (auto turn = turns.rbegin(); turn != turns.rend(); ++turn) {
        if (!turn->second.isService) {
            return turn->second.usage.promptTokens + turn->second.usage.completionTokens;
        }
    }
    return 0;
}

std::int64_t Program::totalTokens() const
{
    std::int64_t total = 0;
    for (const auto &[number, turn] : turns) {
        total += turn.usage.promptTokens + turn.usage.completionTokens;
    }
    return total;
}

void Program::addTurn(const TurnRecord &turn)
{
    turns[turn.number] = turn;
    next = std::max(next, CallNumber(turn.number.value() + 1));
    attainedMillis += turn.serviceMillis;
    bytes +=
        static_cast<std::int64_t>(turn.messages.size() + turn.answer.size() + sizeof(TurnRecord));
    if (!turn.isService && !turn.replica.value().empty()) {
        lastReplica = turn.replica;
    }
    if (turn.last) {
        open.ended = true;
    }
}

void Program::unload()
{
    loaded = false;
    turns.clear();
    attainedMillis = 0;
    bytes = 0;
}

bool Program::quiet() const
{
    return !current.has_value() && early.empty() && unsorted.empty() && !loading;
}

std::string composeMessages(const Program &program, const std::string &newMessages)
{
    std::string result = "[";
    const auto append = [&](const std::string &message) {
        if (message.empty()) {
            return;
        }
        if (result.size() > 1) {
            result += ',';
        }
        result += message;
    };
    for (const auto &[number, turn] : program.turns) {
        if (turn.isService || turn.verdict != Verdict::Ran) {
            continue;
        }
        append(turn.messages);
        append(assistantMessage(turn.answer));
    }
    append(newMessages);
    result += ']';
    return result;
}

std::string composeModelBody(const Program &program, const CallRequest &request,
                             std::int64_t maxTokens)
{
    const std::string user =
        absl::StrCat(program.key.entry.value(), "/", program.key.program.value());
    return absl::StrCat(
        "{\"model\":", boost::json::serialize(boost::json::string(request.pool.value())),
        ",\"stream\":true,\"stream_options\":{\"include_usage\":true}",
        ",\"max_tokens\":", maxTokens, request.extraFields, ",\"user\":\"", user,
        "\",\"messages\":", composeMessages(program, request.content), "}");
}

std::int64_t promptTokenBound(const Program &program, const CallRequest &request)
{
    return program.historyTokens() + static_cast<std::int64_t>(request.content.size())
        + TokensAroundMessage * (request.messageCount + 1);
}

} // namespace boragepath
