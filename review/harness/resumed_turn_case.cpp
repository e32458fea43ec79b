#include "harness.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <csignal>

namespace review {

namespace {

constexpr int Conversations = 6;
constexpr int EventsBeforeTheKill = 5;
constexpr Millis DownTime{2'000};
/** Until the VM counts as in touch again, and the others have noticed it. */
constexpr Millis Pause{6'000};

struct Body
{
    std::string attempt;
    std::string body;
};

Call turnCall(Stage &stage, const std::string &program, const std::string &previous,
              const std::string &input)
{
    Call call;
    call.attempt = stage.newId();
    call.target = "/talk/" + program;
    call.body = input;
    call.fields = {{"Program-Id", program},
                   {"Session-Id", program},
                   {"Token-Usage", "840," + std::to_string(MaxTurnTokens)}};
    if (!previous.empty()) {
        call.fields.emplace_back("Previous-Turn", previous);
    }
    return call;
}

std::string outputOf(const std::string &firstAttempt)
{
    std::string output;
    for (int number = 1; number <= Pace().events; ++number) {
        output += Replica::eventData(firstAttempt, number) + "\n";
    }
    return output;
}

/** Sends a call to some VM but @p except until it is answered whole; empty if it never is. */
asio::awaitable<std::string> sendUntilServed(Stage &stage, Call call, int except)
{
    for (int attempt = 0; attempt < 8; ++attempt) {
        int vm = static_cast<int>(stage.random() % static_cast<unsigned>(stage.vms.count()));
        if (vm == except) {
            vm = (vm + 1) % stage.vms.count();
        }
        call.attempt = stage.newId();
        Channel channel(stage.context, stage.vms.address(vm));
        const Answer answer = co_await channel.send(call);
        stage.record.add("turn " + call.attempt + " at VM " + std::to_string(vm + 1) + ": status "
                         + std::to_string(answer.status) + ", "
                         + std::to_string(answer.events.size()) + " events"
                         + (answer.complete ? ", whole" : ", not whole"));
        if (answer.status == 200 && answer.complete) {
            co_return call.attempt;
        }
        const double retryAfter = answer.retryAfterSeconds.value_or(0.3);
        co_await sleepFor(Millis(static_cast<std::int64_t>(retryAfter * 1'000)));
    }
    co_return std::string();
}

} // namespace

/**
 * A VM is killed while it passes on a stream, and the requester takes the stream up at another VM.
 * The next turn of the conversation must bring the whole stream to the replica.
 */
asio::awaitable<int> runResumedTurnCase(Stage &stage)
{
    Pace pace;
    std::vector<Body> bodies;
    stage.addReplicas("llm", 3, pace);
    for (const auto &replica : stage.replicas) {
        replica->onRun([&bodies](const Request &request, const std::string &) {
            bodies.push_back({std::string(request["Attempt-Id"]), request.body()});
        });
    }
    stage.configure(json::array{streamRoute("talk", "llm", true, true)},
                    json::array{engineService("llm", pace.slots)});
    if (!co_await stage.startAll()) {
        co_return ExitNotRun;
    }
    int broken = 0;
    int checked = 0;
    for (int number = 0; number < Conversations; ++number) {
        const int vm = number % stage.vms.count();
        const std::string program = stage.newId();
        const std::string inputs[] = {"first input of " + program + "\n",
                                      "second input of " + program + "\n",
                                      "third input of " + program + "\n"};
        Call firstCall = turnCall(stage, program, "", inputs[0]);
        const std::string first = co_await sendUntilServed(stage, std::move(firstCall), -1);
        Call second = turnCall(stage, program, first, inputs[1]);
        const std::string begun = second.attempt;
        const bool trouble = stage.trouble;
        second.onEvent = [&stage, vm, trouble](int count) {
            if (trouble && count == EventsBeforeTheKill) {
                stage.vms.signal(vm, SIGKILL);
            }
            return true;
        };
        Channel channel(stage.context, stage.vms.address(vm));
        const Answer answer = co_await channel.send(second);
        stage.record.add("turn " + begun + " at VM " + std::to_string(vm + 1) + ": status "
                         + std::to_string(answer.status) + ", "
                         + std::to_string(answer.events.size()) + " events"
                         + (answer.complete ? ", whole" : ", not whole"));
        std::string completed = answer.complete ? begun : std::string();
        if (!answer.complete && !answer.events.empty()) {
            Call resumed = turnCall(stage, program, first, inputs[1]);
            resumed.fields.emplace_back("Last-Event-Id", std::to_string(answer.events.size()));
            resumed.fields.emplace_back("Resumes", begun);
            stage.record.add("the requester takes " + begun + " up after event "
                             + std::to_string(answer.events.size()));
            completed = co_await sendUntilServed(stage, std::move(resumed), vm);
        }
        if (first.empty() || completed.empty()) {
            stage.record.add("conversation " + program + " could not be completed");
            continue;
        }
        bodies.clear();
        Call third = turnCall(stage, program, completed, inputs[2]);
        const std::string last = co_await sendUntilServed(stage, std::move(third), vm);
        const std::string expected =
            inputs[0] + outputOf(first) + inputs[1] + outputOf(begun) + inputs[2];
        for (const Body &body : bodies) {
            if (body.attempt != last) {
                continue;
            }
            checked += 1;
            broken += body.body == expected ? 0 : 1;
            stage.record.add("the replica got for " + last
                             + (body.body == expected ? " the whole conversation"
                                                      : " another conversation:\n--- expected\n"
                                        + expected + "--- got\n" + body.body + "---"));
        }
        if (stage.trouble && !stage.vms.isRunning(vm)) {
            co_await sleepFor(DownTime);
            stage.vms.start(vm, false);
            co_await stage.waitReady(vm, Millis(8'000));
            co_await sleepFor(Pause);
        }
    }
    stage.record.add("turns after a resumed one: " + std::to_string(checked) + ", of which "
                     + std::to_string(broken) + " brought another conversation to the replica");
    co_return broken > 0 ? ExitBroken : checked > 0 ? ExitHeld : ExitNotRun;
}

} // namespace review
