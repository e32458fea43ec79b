#include "harness.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <csignal>

namespace review {

namespace {

constexpr int RequestersPerVm = 5;
constexpr Millis Duration{70'000};
/** `limits.memoryMb` of the settings. */
constexpr std::int64_t MemoryLimitKb = 140L * 1'024;
constexpr Millis WatchInterval{20};
constexpr Millis RestartDelay{1'000};
/** As on the sheet: one of three replicas spoils this share of its answers. */
constexpr double SpoiltAnswers = 0.02;
constexpr std::size_t EventBytes = 16'000;
constexpr std::size_t EventsPerBlock = 4;
constexpr int LostAllowed = 3;
/** The day counts 0 if on two machines at least processes end three times. */
constexpr int EndsToBreak = 3;
constexpr int MachinesToBreak = 2;

struct Tally
{
    std::vector<int> ends;
    std::int64_t mostKb = 0;
    int turns = 0;
    int postings = 0;
    /** Postings from kept channels that a sound replica ran and whose channel ended without an
     * answer. */
    int postingsLost = 0;
    std::set<std::string> ran;
    bool stopped = false;

    int machinesOver() const
    {
        return static_cast<int>(std::count_if(ends.begin(), ends.end(),
                                              [](int count) { return count >= EndsToBreak; }));
    }
};

/** What the platform does: it kills a process over its limit, and starts it again. */
asio::awaitable<void> watchMemory(Stage &stage, Tally &tally, int vm)
{
    while (!tally.stopped) {
        const std::int64_t memory = stage.vms.memoryKb(vm);
        tally.mostKb = std::max(tally.mostKb, memory);
        if (memory > MemoryLimitKb) {
            tally.ends[static_cast<std::size_t>(vm)] += 1;
            stage.record.add("VM " + std::to_string(vm + 1) + " has "
                             + std::to_string(memory / 1'024)
                             + " MB of 140 MB: the platform kills it");
            stage.vms.signal(vm, SIGKILL);
            co_await sleepFor(RestartDelay);
            stage.vms.start(vm, false);
        }
        co_await sleepFor(WatchInterval);
    }
}

asio::awaitable<void> runTurns(Stage &stage, Tally &tally, int vm)
{
    while (!tally.stopped) {
        Call call;
        call.attempt = stage.newId();
        call.target = "/talk/" + call.attempt;
        call.body = "input of " + call.attempt + "\n";
        call.discards = true;
        call.fields = {{"Program-Id", call.attempt},
                       {"Session-Id", call.attempt},
                       {"Token-Usage", "840," + std::to_string(MaxTurnTokens)}};
        const std::string id = call.attempt;
        Channel channel(stage.context, stage.vms.address(vm));
        const Answer answer = co_await channel.send(std::move(call));
        tally.turns += 1;
        stage.record.add("turn " + id + " at VM " + std::to_string(vm + 1) + ": status "
                         + std::to_string(answer.status)
                         + (answer.complete ? ", whole" : ", not whole"));
        co_await sleepFor(Millis(50));
    }
}

asio::awaitable<void> runPostings(Stage &stage, Tally &tally, int vm)
{
    Channel channel(stage.context, stage.vms.address(vm));
    while (!tally.stopped) {
        const bool isKept = channel.isOpen();
        Call call;
        call.attempt = stage.newId();
        call.target = "/post/" + call.attempt;
        call.body = "issue one share\n";
        call.deadline = Millis(1'500);
        const std::string id = call.attempt;
        const Answer answer = co_await channel.send(std::move(call));
        tally.postings += answer.complete ? 1 : 0;
        const bool isLost = isKept && answer.status == 0 && tally.ran.contains(id);
        tally.postingsLost += isLost ? 1 : 0;
        if (isLost) {
            stage.record.add("LOST posting " + id + " at VM " + std::to_string(vm + 1)
                             + ": it runs, and its kept channel ends without an answer");
        }
        co_await sleepFor(Millis(30));
    }
}

} // namespace

/**
 * One of three replicas sends bytes without end in some of its answers. No process of the system
 * may need more memory than it has for that.
 */
asio::awaitable<int> runEndlessAnswerCase(Stage &stage)
{
    Pace pace;
    Tally tally;
    tally.ends.assign(static_cast<std::size_t>(stage.vms.count()), 0);
    stage.addReplicas("llm", 3, pace);
    stage.addReplicas("app", 3, pace);
    for (const auto &replica : stage.replicas) {
        replica->onRun([&tally](const Request &request, const std::string &) {
            tally.ran.insert(std::string(request["Attempt-Id"]));
        });
    }
    if (stage.trouble) {
        std::string bytes;
        for (std::size_t number = 0; number < EventsPerBlock; ++number) {
            bytes += "data: " + std::string(EventBytes, 'x') + "\n\n";
        }
        stage.replicas.front()->sendWithoutEnd(bytes, SpoiltAnswers);
    }
    stage.configure(json::array{streamRoute("talk", "llm", true, false),
                                plainRoute("post", "app", "non_idempotent")},
                    json::array{engineService("llm", pace.slots), plainService("app")});
    if (!co_await stage.startAll()) {
        co_return ExitNotRun;
    }
    for (int vm = 0; vm < stage.vms.count(); ++vm) {
        asio::co_spawn(stage.context, watchMemory(stage, tally, vm), asio::detached);
        for (int number = 0; number < RequestersPerVm; ++number) {
            asio::co_spawn(stage.context, runTurns(stage, tally, vm), asio::detached);
            asio::co_spawn(stage.context, runPostings(stage, tally, vm), asio::detached);
        }
    }
    const Clock::time_point until = Clock::now() + Duration;
    while (Clock::now() < until
           && (tally.machinesOver() < MachinesToBreak || tally.postingsLost <= LostAllowed)) {
        co_await sleepFor(Millis(200));
    }
    tally.stopped = true;
    co_await sleepFor(Millis(500));
    std::string ends;
    for (const int count : tally.ends) {
        ends += " " + std::to_string(count);
    }
    stage.record.add(
        "turns: " + std::to_string(tally.turns) + "; postings: " + std::to_string(tally.postings)
        + " answered, " + std::to_string(tally.postingsLost)
        + " from kept channels ran and got no answer, allowed " + std::to_string(LostAllowed));
    stage.record.add("most memory of a process: " + std::to_string(tally.mostKb / 1'024)
                     + " MB of 140 MB; ends by machine:" + ends);
    co_return tally.postingsLost > LostAllowed ? ExitBroken : ExitHeld;
}

} // namespace review
