#include "load/demo.h"

#include "load/deployment_client.h"
#include "load/program_run.h"

#include <boost/json.hpp>

#include <cstdio>
#include <iostream>

namespace boragepath {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Milliseconds StartTimeout{20'000};
constexpr Milliseconds CallTimeout{30'000};
constexpr const char *DemoEntry = "demo-registry";

PlannedProgram demoProgram()
{
    PlannedProgram program;
    program.entry = DemoEntry;
    program.serviceClass = "interactive";
    program.name = "transfer-1";
    program.systemText = "You keep the member share register of a fishery co-op.";
    program.model = "register-llm";
    program.servicePath = "register-app/shares/issue";
    PlannedCall question;
    question.contentTokens = 24;
    question.maxTokens = 24;
    PlannedCall afterTool = question;
    afterTool.pause = Milliseconds(500);
    PlannedCall issueShare;
    issueShare.isService = true;
    issueShare.nonIdempotent = true;
    PlannedCall withSubAgent = question;
    withSubAgent.subAgentCalls = 2;
    program.calls = {question, afterTool, issueShare, withSubAgent, question};
    return program;
}

void printCall(const PlannedProgram &program, std::size_t index, const CallReport &call)
{
    const PlannedCall &planned = program.calls[index];
    const std::string what = planned.isService ? program.servicePath : program.model;
    std::printf("  call %zu  %-26s verdict %-12s %4lld ms  first token %4lld ms  "
                "prompt %4lld (cached %lld)\n",
                index + 1, what.c_str(), call.verdict.c_str(),
                static_cast<long long>(toMillis(call.duration)),
                static_cast<long long>(toMillis(call.firstToken)),
                static_cast<long long>(call.promptTokens),
                static_cast<long long>(call.cachedTokens));
}

int serviceRunCount(const std::string &statistics, const std::string &idempotencyKey)
{
    json::error_code error;
    const json::value value = json::parse(statistics, error);
    if (error || !value.is_object()) {
        return -1;
    }
    const json::value *runs = value.get_object().if_contains("service_runs");
    const json::value *count =
        runs == nullptr ? nullptr : runs->get_object().if_contains(idempotencyKey);
    return count == nullptr ? 0 : static_cast<int>(count->get_int64());
}

/** Checks that a call with a wrong key is refused and returns nothing of the program. */
asio::awaitable<bool> wrongKeyIsRefused(CallerClient &client, const PlannedProgram &program)
{
    CallSpec spec;
    spec.entry = program.entry;
    spec.key = "a-wrong-key";
    spec.program = program.name;
    spec.number = 1;
    spec.model = program.model;
    spec.content = "What was said so far?";
    const CallReport report = co_await client.call(spec, CallTimeout);
    std::printf("  a wrong key gets status %u, verdict %s\n", report.status,
                report.verdict.c_str());
    co_return report.status == 401 && report.verdict == "not-run" && report.answer.empty();
}

} // namespace

namespace {

std::string demoCatalogue()
{
    EntrySpec entry;
    entry.name = DemoEntry;
    entry.serviceClass = "interactive";
    entry.pools = {"register-llm", "register-app"};
    return catalogueJson({entry});
}

} // namespace

asio::awaitable<bool> runDemo(DemoTarget target)
{
    for (const Endpoint &daemon : target.daemons) {
        if (!co_await waitUntilReady(daemon, StartTimeout)) {
            std::printf("%s is not ready\n", daemon.text().c_str());
            co_return false;
        }
    }
    const std::string problem =
        co_await applyCatalogue(target.daemons.front(), target.operatorKey, demoCatalogue());
    if (!problem.empty()) {
        std::printf("the catalogue was not accepted: %s\n", problem.c_str());
        co_return false;
    }
    std::printf("catalogue accepted; running the program\n");
    CallerClient client(target.daemons, 7);
    const PlannedProgram program = demoProgram();
    const ProgramReport report = co_await runProgram(client, program, CallTimeout);
    for (std::size_t index = 0; index < report.calls.size(); ++index) {
        printCall(program, index, report.calls[index]);
    }
    bool passed = report.finished && report.violations.empty();
    for (const std::string &violation : report.violations) {
        std::printf("  BROKEN: %s\n", violation.c_str());
    }
    const std::string statistics = co_await readJson(target.standinControl, "/statistics", "");
    for (const NonIdempotentCall &once : report.nonIdempotentCalls) {
        const int runs = serviceRunCount(statistics, once.idempotencyKey);
        std::printf("  %s ran %d time(s), verdict %s\n", once.idempotencyKey.c_str(), runs,
                    once.verdict.c_str());
        passed = passed && runs == 1 && once.verdict == "ran";
    }
    passed = co_await wrongKeyIsRefused(client, program) && passed;
    std::printf("program latency %lld ms; %s\n", static_cast<long long>(toMillis(report.latency)),
                passed ? "every promise kept" : "A PROMISE WAS BROKEN");
    co_return passed;
}

} // namespace boragepath
