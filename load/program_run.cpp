#include "load/program_run.h"

#include "standin/engine_model.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace boragepath {

namespace asio = boost::asio;

namespace {

using SteadyClock = std::chrono::steady_clock;

asio::awaitable<void> sleepFor(SteadyClock::duration time)
{
    if (time <= SteadyClock::duration(0)) {
        co_return;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

/** Returns a text of about @p tokens tokens that is unique to this call. */
std::string generateContent(const std::string &program, int number, int tokens)
{
    std::string text = absl::StrCat(program, " call ", number, ":");
    const std::size_t size = static_cast<std::size_t>(tokens) * BytesPerToken;
    int word = 0;
    while (text.size() < size) {
        absl::StrAppend(&text, " word", (word * 7919 + number) % 9973);
        word += 1;
    }
    return text;
}

/** The conversation so far, from which the expected prompt of the next call is built. */
class Conversation
{
public:
    /** Returns the prompt that the replica must have received for this call. */
    std::string promptWith(const CallSpec &spec) const
    {
        std::string prompt = m_text;
        if (!spec.systemText.empty()) {
            absl::StrAppend(&prompt, "<system>", spec.systemText);
        }
        absl::StrAppend(&prompt, "<user>", spec.content, "<assistant>");
        return prompt;
    }

    void addTurn(const std::string &prompt, const std::string &answer) { m_text = prompt + answer; }

private:
    std::string m_text;
};

CallSpec makeCallSpec(const PlannedProgram &program, const PlannedCall &call, int number, bool last)
{
    CallSpec spec;
    spec.entry = program.entry;
    spec.key = bearerKeyFor(program.entry);
    spec.program = program.name;
    spec.number = number;
    spec.last = last;
    spec.model = program.model;
    spec.maxTokens = call.maxTokens;
    spec.content = generateContent(program.name, number, call.contentTokens);
    if (number == 1) {
        spec.systemText = program.systemText;
    }
    if (call.isService) {
        spec.servicePath = program.servicePath;
        spec.systemText.clear();
    }
    if (call.nonIdempotent) {
        spec.idempotencyKey = absl::StrCat(program.entry, ".", program.name, ".", number);
    }
    return spec;
}

void checkAnswer(const CallSpec &spec, const CallReport &call, Conversation &conversation,
                 ProgramReport &report)
{
    const std::string callName = absl::StrCat(spec.entry, "/", spec.program, " call ", spec.number);
    if (call.nextCall != spec.number + 1) {
        report.violations.push_back(
            absl::StrCat(callName, ": order: next call is ", call.nextCall));
    }
    if (!spec.servicePath.empty()) {
        return;
    }
    const std::string prompt = conversation.promptWith(spec);
    if (call.answer != generateAnswer(prompt, spec.maxTokens)) {
        report.violations.push_back(
            absl::StrCat(callName, ": history: the answer does not belong to this conversation (",
                         call.answer.size(), " bytes, replayed ", call.replayed, ")"));
    }
    conversation.addTurn(prompt, call.answer);
}

asio::awaitable<void> runSubAgent(CallerClient &client, const PlannedProgram &parent, int number,
                                  int calls, Milliseconds timeout, ProgramReport &report)
{
    PlannedProgram subAgent = parent;
    subAgent.name = absl::StrCat(parent.name, ".sub", number);
    subAgent.abandoned = false;
    subAgent.endless = false;
    PlannedCall call;
    call.contentTokens = 30;
    call.maxTokens = 20;
    subAgent.calls.assign(static_cast<std::size_t>(calls), call);
    ProgramReport result = co_await runProgram(client, subAgent, timeout);
    report.violations.insert(report.violations.end(), result.violations.begin(),
                             result.violations.end());
    if (!result.finished) {
        report.reason = "sub-agent: " + result.reason;
    }
}

} // namespace

std::string bearerKeyFor(const std::string &entry)
{
    return "key-of-" + entry;
}

asio::awaitable<ProgramReport> runProgram(CallerClient &client, PlannedProgram program,
                                          Milliseconds timeout)
{
    ProgramReport report;
    report.serviceClass = program.serviceClass;
    report.entry = program.entry;
    report.name = program.name;
    const auto started = SteadyClock::now();
    Conversation conversation;
    int number = 0;
    for (std::size_t index = 0; index < program.calls.size() || program.endless; ++index) {
        const PlannedCall &call = program.calls[index % program.calls.size()];
        number += 1;
        co_await sleepFor(call.pause);
        report.pauses += call.pause;
        if (call.subAgentCalls > 0) {
            co_await runSubAgent(client, program, number, call.subAgentCalls, timeout, report);
        }
        const bool last =
            !program.endless && !program.abandoned && index + 1 == program.calls.size();
        const CallSpec spec = makeCallSpec(program, call, number, last);
        CallReport result = co_await client.call(spec, timeout);
        if (call.nonIdempotent) {
            report.nonIdempotentCalls.push_back(
                {spec.idempotencyKey, result.answered ? result.verdict : "unanswered"});
        }
        report.calls.push_back(result);
        // A non-idempotent call with an unknown outcome must not be repeated; the program goes on
        // with its next call.
        const bool unknown = call.nonIdempotent && result.verdict == "may-have-run"
            && result.reason == "outcome-unknown";
        if (result.verdict == "ran") {
            checkAnswer(spec, result, conversation, report);
        } else if (!unknown) {
            report.reason = result.reason;
            break;
        }
        report.finished = last || (program.abandoned && index + 1 == program.calls.size());
    }
    report.latency = SteadyClock::now() - started;
    co_return report;
}

} // namespace boragepath
