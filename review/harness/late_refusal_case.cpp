#include "harness.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace review {

namespace {

constexpr int RequestersPerVm = 5;
constexpr Millis Duration{25'000};
/** The sheet's mean time of work for an entry that is posted once. */
constexpr Millis WorkTime{26};
/** As on the sheet: this share of the answers is spoilt. */
constexpr double LateRefusals = 0.03;
/** One of three; the sheet allows a share of 0.6. */
constexpr std::size_t FaultyReplicas = 1;

struct Tally
{
    std::map<std::string, int> runs;
    int twice = 0;
    int posted = 0;
    int other = 0;
    bool stopped = false;
    int running = 0;
};

asio::awaitable<void> runRequester(Stage &stage, Tally &tally, int vm)
{
    tally.running += 1;
    Channel channel(stage.context, stage.vms.address(vm));
    while (!tally.stopped) {
        Call call;
        call.attempt = stage.newId();
        call.target = "/post/" + call.attempt;
        call.body = "issue one share\n";
        call.deadline = Millis(1'500);
        const std::string id = call.attempt;
        const Answer answer = co_await channel.send(std::move(call));
        const bool posted = answer.status == 200 && answer.complete;
        (posted ? tally.posted : tally.other) += 1;
        stage.record.add("posting " + id + " at VM " + std::to_string(vm + 1) + ": status "
                         + std::to_string(answer.status));
        co_await sleepFor(Millis(stage.random() % 20));
    }
    tally.running -= 1;
}

} // namespace

/** Replicas send additional bytes after some of their answers. No posting may run twice. */
asio::awaitable<int> runLateRefusalCase(Stage &stage)
{
    Pace pace;
    pace.beforeFirstEvent = WorkTime;
    pace.slots = 6;
    Tally tally;
    stage.addReplicas("app", 3, pace);
    for (const auto &replica : stage.replicas) {
        replica->onRun([&stage, &tally](const Request &request, const std::string &id) {
            const std::string attempt(request["Attempt-Id"]);
            int &runs = tally.runs[attempt];
            runs += 1;
            if (runs == 2) {
                tally.twice += 1;
                stage.record.add("TWICE posting " + attempt + " runs again, at " + id);
            }
        });
    }
    for (std::size_t index = 0; index < FaultyReplicas; ++index) {
        stage.replicas[index]->sendLateRefusals(stage.trouble ? LateRefusals : 0);
    }
    stage.configure(json::array{plainRoute("post", "app", "non_idempotent")},
                    json::array{plainService("app")});
    if (!co_await stage.startAll()) {
        co_return ExitNotRun;
    }
    for (int number = 0; number < RequestersPerVm * stage.vms.count(); ++number) {
        asio::co_spawn(stage.context, runRequester(stage, tally, number % stage.vms.count()),
                       asio::detached);
    }
    co_await sleepFor(Duration);
    tally.stopped = true;
    while (tally.running > 0) {
        co_await sleepFor(Millis(50));
    }
    stage.record.add("postings: " + std::to_string(tally.posted) + " answered with success, "
                     + std::to_string(tally.other) + " otherwise; " + std::to_string(tally.twice)
                     + " ran twice");
    co_return tally.twice > 0 ? ExitBroken : ExitHeld;
}

} // namespace review
