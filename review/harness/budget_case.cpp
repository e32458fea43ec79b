#include "harness.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <csignal>

namespace review {

namespace {

constexpr int Programs = 24;
constexpr int Turns = 8;
constexpr int TokenBudget = 4'640;
constexpr int EventsPerTurn = 20;
constexpr Millis RequesterDeadline{4'000};
constexpr int TriesToBreak = 5;
/** The sheet's factor of the time on idle replicas, and its time a turn for the way. */
constexpr double AimFactor = 1.8;
constexpr Millis WayPerTurn{31};
constexpr Millis Objective{250};
constexpr Millis Think{20};

struct Tally
{
    int firstTurns = 0;
    int firstTurnsThatReached = 0;
    int turns = 0;
    /** Turns that reached no replica in five tries or more, before the aim of their program. */
    int lostTurns = 0;
    int programsDone = 0;
    int programsFailed = 0;
    int running = 0;
    int mostRunning = 0;
    std::set<std::string> ran;
};

/** One turn of a program, over all tries. */
struct Turn
{
    std::string completedBy;
    int tries = 0;
    bool reached = false;
    Clock::time_point fifthTryEnded;
};

asio::awaitable<Turn> runTurn(Stage &stage, Tally &tally, std::string program, std::string previous,
                              Clock::time_point aim)
{
    Turn turn;
    // A turn that has failed after a requester's two attempts is sent again, at most twice.
    for (int send = 0; send < 3 && turn.completedBy.empty(); ++send) {
        if (send > 0) {
            co_await sleepFor(Millis(100 + stage.random() % 300));
        }
        const Clock::time_point until = Clock::now() + RequesterDeadline;
        for (int attempt = 0; attempt < 2 && turn.completedBy.empty(); ++attempt) {
            const auto left = std::chrono::duration_cast<Millis>(until - Clock::now());
            if (left < Millis(300)) {
                break;
            }
            const auto programLeft = std::chrono::duration_cast<Millis>(aim - Clock::now());
            Call call;
            call.attempt = stage.newId();
            call.target = "/talk/" + program;
            call.body = "input of " + call.attempt + "\n";
            call.deadline = left;
            call.fields = {{"Program-Id", program},
                           {"Session-Id", program},
                           {"Program-Deadline-Ms",
                            std::to_string(std::max<std::int64_t>(0, programLeft.count()))},
                           {"Token-Budget", std::to_string(TokenBudget)},
                           {"Token-Usage", "840," + std::to_string(MaxTurnTokens)}};
            if (!previous.empty()) {
                call.fields.emplace_back("Previous-Turn", previous);
            }
            const std::string id = call.attempt;
            Channel channel(stage.context, stage.vms.address(static_cast<int>(stage.random() % 3)));
            const Answer answer = co_await channel.send(std::move(call));
            turn.tries += 1;
            turn.reached = turn.reached || tally.ran.contains(id);
            if (turn.tries == TriesToBreak) {
                turn.fifthTryEnded = Clock::now();
            }
            stage.record.add("turn " + id + " of " + program + " after "
                             + (previous.empty() ? "nothing" : previous) + ": status "
                             + std::to_string(answer.status)
                             + (answer.complete ? ", whole" : ", not whole"));
            if (answer.status == 200 && answer.complete) {
                turn.completedBy = id;
                break;
            }
            const double asked = answer.retryAfterSeconds.value_or(0.05);
            const auto most = std::chrono::duration<double>(until - Clock::now()).count() / 3;
            co_await sleepFor(
                Millis(static_cast<std::int64_t>(std::max(0.0, std::min(asked, most)) * 1'000)));
        }
    }
    co_return turn;
}

asio::awaitable<void> runProgram(Stage &stage, Tally &tally, const Pace &pace)
{
    tally.running += 1;
    const std::string program = stage.newId();
    const Millis idleTurn =
        pace.beforeFirstEvent + pace.betweenEvents * (EventsPerTurn - 1) + WayPerTurn + Think;
    const Clock::time_point aim = Clock::now()
        + Millis(static_cast<std::int64_t>(AimFactor
                                           * static_cast<double>((idleTurn * Turns).count())))
        + Objective;
    std::string previous;
    bool failed = false;
    for (int number = 1; number <= Turns && !failed; ++number) {
        const Turn turn = co_await runTurn(stage, tally, program, previous, aim);
        tally.turns += 1;
        if (number == 1) {
            tally.firstTurns += 1;
            tally.firstTurnsThatReached += turn.reached ? 1 : 0;
        } else if (!turn.reached && turn.tries >= TriesToBreak && turn.fifthTryEnded < aim) {
            tally.lostTurns += 1;
            stage.record.add("LOST turn " + std::to_string(number) + " of program " + program
                             + ": no replica in " + std::to_string(turn.tries)
                             + " tries, before the program's aim");
        }
        failed = turn.completedBy.empty();
        previous = turn.completedBy;
        co_await sleepFor(Think);
    }
    (failed ? tally.programsFailed : tally.programsDone) += 1;
    tally.running -= 1;
}

} // namespace

/**
 * A process of the system is killed, and is back two seconds later. Programs that begin long after
 * that must be able to use their budgets, most of which they need.
 */
asio::awaitable<int> runBudgetCase(Stage &stage)
{
    Pace pace;
    pace.events = EventsPerTurn;
    Tally tally;
    stage.addReplicas("llm", 4, pace);
    for (const auto &replica : stage.replicas) {
        replica->onRun([&tally](const Request &request, const std::string &) {
            tally.ran.insert(std::string(request["Attempt-Id"]));
        });
    }
    stage.configure(json::array{streamRoute("talk", "llm", true, false)},
                    json::array{engineService("llm", pace.slots)});
    if (!co_await stage.startAll()) {
        co_return ExitNotRun;
    }
    if (stage.trouble) {
        stage.vms.signal(0, SIGKILL);
        co_await sleepFor(Millis(2'000));
        stage.vms.start(0, false);
        if (!co_await stage.waitReady(0, Millis(8'000))) {
            co_return ExitNotRun;
        }
    }
    // Far beyond contactMs of 3 s.
    co_await sleepFor(Millis(12'000));
    for (int number = 0; number < Programs; ++number) {
        asio::co_spawn(stage.context, runProgram(stage, tally, pace), asio::detached);
        co_await sleepFor(Millis(400));
        tally.mostRunning = std::max(tally.mostRunning, tally.running);
    }
    while (tally.programsDone + tally.programsFailed < Programs) {
        co_await sleepFor(Millis(100));
    }
    stage.record.add("programs: " + std::to_string(tally.programsDone) + " done, "
                     + std::to_string(tally.programsFailed) + " failed; at most "
                     + std::to_string(tally.mostRunning) + " at once on "
                     + std::to_string(stage.replicas.size() * 24) + " slots");
    stage.record.add("first turns that reached a replica: "
                     + std::to_string(tally.firstTurnsThatReached) + " of "
                     + std::to_string(tally.firstTurns));
    stage.record.add("turns that reached no replica in five tries or more: "
                     + std::to_string(tally.lostTurns));
    const bool firstTurnsServed = tally.firstTurnsThatReached * 10 >= tally.firstTurns * 9;
    co_return tally.lostTurns > 0 && firstTurnsServed ? ExitBroken : ExitHeld;
}

} // namespace review
