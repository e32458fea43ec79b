#include "harness.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace review {

namespace {

constexpr int Replicas = 8;
/** As long as the sheet of a small site lets crashed replicas be down. */
constexpr Millis ReplicaDownTime{5'000};
constexpr Millis RequestInterval{1'000};
constexpr Millis Duration{40'000};
constexpr Millis ContactTime{3'000};
constexpr std::size_t CrashesUntilBound = 3;
constexpr int RetriesAllowed = 3;

struct Tally
{
    /** When replicas began to run the request. */
    std::vector<std::int64_t> runs;
    /** Runs later than contactMs after the third crash. */
    int retries = 0;
    int ordinary = 0;
    int ordinaryServed = 0;
    bool stopped = false;
};

asio::awaitable<void> sendOrdinary(Stage &stage, Tally &tally)
{
    while (!tally.stopped) {
        Call call;
        call.attempt = stage.newId();
        call.method = "GET";
        call.target = "/look/" + call.attempt;
        call.deadline = Millis(1'000);
        Channel channel(stage.context, stage.vms.address(static_cast<int>(stage.random() % 3)));
        const Answer answer = co_await channel.send(std::move(call));
        tally.ordinary += 1;
        tally.ordinaryServed += answer.status == 200 && answer.complete ? 1 : 0;
        co_await sleepFor(Millis(200));
    }
}

void noteRun(Stage &stage, Tally &tally, const Request &request, const std::string &replica)
{
    const std::int64_t now = stage.record.now();
    const Millis untilCrash = Pace().beforeFirstEvent;
    const bool counts = tally.runs.size() >= CrashesUntilBound
        && now > tally.runs[CrashesUntilBound - 1] + (untilCrash + ContactTime).count();
    tally.retries += counts ? 1 : 0;
    tally.runs.push_back(now);
    stage.record.add("the request that crashes replicas runs at " + replica + " as "
                     + std::string(request["Attempt-Id"])
                     + (counts ? ": retry " + std::to_string(tally.retries) + " that counts" : ""));
}

} // namespace

/**
 * A request crashes each replica that begins to run it, and comes again and again. A replica that
 * crashes sends nothing, and is back after some seconds.
 */
asio::awaitable<int> runCrashingRequestCase(Stage &stage)
{
    Tally tally;
    stage.addReplicas("app", Replicas, Pace());
    for (const auto &replica : stage.replicas) {
        if (stage.trouble) {
            replica->crashOn("poison", ReplicaDownTime);
            replica->crashDark();
        }
        replica->onRun([&stage, &tally](const Request &request, const std::string &id) {
            if (stage.trouble && request.target().find("poison") != std::string::npos) {
                noteRun(stage, tally, request, id);
            }
        });
    }
    stage.configure(json::array{plainRoute("look", "app", "idempotent")},
                    json::array{plainService("app")});
    if (!co_await stage.startAll()) {
        co_return ExitNotRun;
    }
    asio::co_spawn(stage.context, sendOrdinary(stage, tally), asio::detached);
    const Clock::time_point until = Clock::now() + Duration;
    while (Clock::now() < until) {
        Call call;
        call.attempt = stage.newId();
        call.method = "GET";
        call.target = "/look/poison";
        call.deadline = Millis(1'000);
        const int vm = static_cast<int>(stage.random() % 3);
        const std::string id = call.attempt;
        Channel channel(stage.context, stage.vms.address(vm));
        const Answer answer = co_await channel.send(std::move(call));
        stage.record.add("request " + id + " at VM " + std::to_string(vm + 1) + ": status "
                         + std::to_string(answer.status));
        co_await sleepFor(RequestInterval);
    }
    tally.stopped = true;
    stage.record.add("replicas that the request reached: " + std::to_string(tally.runs.size())
                     + "; later than contactMs after the third crash: "
                     + std::to_string(tally.retries) + ", allowed "
                     + std::to_string(RetriesAllowed));
    stage.record.add("other requests: " + std::to_string(tally.ordinaryServed) + " of "
                     + std::to_string(tally.ordinary) + " served");
    co_return tally.retries > RetriesAllowed ? ExitBroken : ExitHeld;
}

} // namespace review
