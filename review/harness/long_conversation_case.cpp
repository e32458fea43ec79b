#include "harness.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace review {

namespace {

constexpr int Requesters = 12;
/** A quarter of what `limits.maxBodyBytes` allows. */
constexpr std::size_t LongInputBytes = 1'048'576;
constexpr std::size_t ShortInputBytes = 17'000;
constexpr Millis RouteTimeout{4'000};
constexpr Millis Slack{500};
/** The rule speaks of eight requests or more, and more than a quarter of those that last so long.
 */
constexpr int UnansweredToBreak = 8;

struct Tally
{
    int done = 0;
    int served = 0;
    int refused = 0;
    /** Requests that lasted longer than the timeout of the route. */
    int lasted = 0;
    /** Of these, those without a whole answer half a second later. */
    int unanswered = 0;
};

asio::awaitable<void> runRequester(Stage &stage, Tally &tally, int vm)
{
    const std::string program = stage.newId();
    Call call;
    call.attempt = stage.newId();
    call.target = "/talk/" + program;
    call.body = std::string(stage.trouble ? LongInputBytes : ShortInputBytes, 'i') + "\n";
    call.fields = {{"Program-Id", program},
                   {"Session-Id", program},
                   {"Token-Usage", "12600," + std::to_string(MaxTurnTokens)}};
    // The requester would wait longer than the operator wants it to.
    call.deadline = RouteTimeout + Millis(4'000);
    const std::string id = call.attempt;
    const std::size_t size = call.body.size();
    const Clock::time_point sentAt = Clock::now();
    Channel channel(stage.context, stage.vms.address(vm));
    const Answer answer = co_await channel.send(std::move(call));
    const auto time = std::chrono::duration_cast<Millis>(Clock::now() - sentAt);
    const bool served = answer.status == 200 && answer.complete;
    tally.served += served ? 1 : 0;
    tally.refused += !served && answer.complete ? 1 : 0;
    if (time >= RouteTimeout) {
        tally.lasted += 1;
        tally.unanswered += answer.complete && time < RouteTimeout + Slack ? 0 : 1;
    }
    stage.record.add("first turn " + id + " of " + std::to_string(size) + " bytes at VM "
                     + std::to_string(vm + 1) + ": status " + std::to_string(answer.status) + ", "
                     + std::to_string(answer.events.size()) + " of " + std::to_string(Pace().events)
                     + " events, " + (answer.complete ? "whole" : "ended without its end")
                     + " after " + std::to_string(time.count()) + " ms");
    tally.done += 1;
}

} // namespace

/** First turns of conversations whose input is long, but a quarter of the limit on bodies. */
asio::awaitable<int> runLongConversationCase(Stage &stage)
{
    Pace pace;
    Tally tally;
    stage.addReplicas("llm", 3, pace);
    stage.configure(json::array{streamRoute("talk", "llm", true, false)},
                    json::array{engineService("llm", pace.slots)});
    if (!co_await stage.startAll()) {
        co_return ExitNotRun;
    }
    for (int number = 0; number < Requesters; ++number) {
        asio::co_spawn(stage.context, runRequester(stage, tally, number % stage.vms.count()),
                       asio::detached);
        co_await sleepFor(Millis(500));
    }
    while (tally.done < Requesters) {
        co_await sleepFor(Millis(100));
    }
    stage.record.add("first turns: " + std::to_string(tally.served) + " served whole, "
                     + std::to_string(tally.refused) + " refused; " + std::to_string(tally.lasted)
                     + " lasted longer than timeoutMs, of which " + std::to_string(tally.unanswered)
                     + " have no final answer");
    stage.record.add("transactions over the store's limit: "
                     + std::to_string(stage.store.oversized()));
    const bool isBroken =
        tally.unanswered >= UnansweredToBreak && tally.unanswered * 4 > tally.lasted;
    co_return isBroken ? ExitBroken : ExitHeld;
}

} // namespace review
