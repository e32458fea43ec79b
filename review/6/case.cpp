// A turn is kept for its route's keepS, but the text of its chain is removed before.

#include "../harness-2/harness.h"

#include <iostream>

using namespace review;

namespace {

constexpr int Programs = 4;
constexpr int MemoryMegabytes = 140;
/** After the first turn: its own time, 10 s, is over, and that of the second one, 60 s, is not. */
constexpr Millis KillAfter{42'000};
constexpr Millis ThirdTurnAfter{47'000};
constexpr Millis RestartDelay{1'000};
constexpr Millis EventPause{20};
constexpr Millis Deadline{4'000};

const char *const Configuration = R"({"version":1,"routes":[
 {"name":"r-quick","host":"front.example","prefix":"/quick/","kind":"streaming","timeoutMs":4000,
  "targetLatencyMs":250,"priority":0,"service":"llm","maxAttempts":1,"retainContext":true,
  "keepS":10.0,"sticky":true,"resumable":false,"gapAimMs":300},
 {"name":"r-long","host":"front.example","prefix":"/long/","kind":"streaming","timeoutMs":4000,
  "targetLatencyMs":250,"priority":0,"service":"llm","maxAttempts":1,"retainContext":true,
  "keepS":60.0,"sticky":true,"resumable":false,"gapAimMs":300}],
 "services":[{"name":"llm","healthPath":"/healthz","maxConns":180,"protocol":"h1","tls":false,
  "engine":{"slots":16,"kvTokens":400000,"tokensPerEvent":20,"models":[{"name":"m"}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000}})";

bool answerTurn(Replica &replica, const Message &request, Connection &connection)
{
    constexpr int Events = 5;
    bool isOpen = connection.send(replica.streamHead(request));
    for (int id = 1; isOpen && id <= Events; ++id) {
        sleepFor(EventPause);
        isOpen = connection.send(
            eventChunk(id, request.header("Attempt-Id") + " says " + std::to_string(id)));
    }
    return isOpen && connection.send(LastChunk);
}

struct Program
{
    std::string id;
    std::string secondTurn;
    std::string chain;
};

/** Sends a turn and returns its answer; notes both. */
Message sendTurn(Case &run, const std::string &vm, const std::string &prefix,
                 const std::string &attempt, const std::string &previous, Program &program)
{
    const std::string input = "input of " + attempt + "\n";
    Message request = turn(prefix, attempt, program.id, input);
    if (!previous.empty()) {
        request.fields.push_back({"Previous-Turn", previous});
    }
    const Message answer = exchange(vm, Ports::Front, request, Deadline);
    run.record().write("program " + program.id + " turn " + attempt + " after '" + previous
                       + "' on " + prefix + " -> " + std::to_string(answer.status)
                       + (answer.complete ? " whole" : " not whole: " + answer.problem));
    program.chain += input + eventData(answer.body);
    return answer;
}

int play(Case &run)
{
    Store store(run.address(1), Ports::Store);
    store.put("op", "config", Configuration);
    Runs runs;
    Replica first({"i-1", "llm", run.address(31), Ports::Replica}, store, runs, answerTurn);
    Replica second({"i-2", "llm", run.address(32), Ports::Replica}, store, runs, answerTurn);
    Fleet fleet(run.temporaryFolder(), {run.address(11), run.address(12), run.address(13)},
                run.address(1) + ":" + std::to_string(Ports::Store), MemoryMegabytes);
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        fleet.start(vm);
    }
    if (!fleet.waitUntilReady()) {
        return CouldNotRun;
    }
    const Clock::time_point begin = Clock::now();
    std::vector<Program> programs;
    for (int number = 0; number < Programs; ++number) {
        Program program;
        program.id = run.newId();
        const std::string firstTurn = run.newId();
        program.secondTurn = run.newId();
        const Message one = sendTurn(run, fleet.address(0), "/quick/", firstTurn, "", program);
        const Message two =
            sendTurn(run, fleet.address(0), "/long/", program.secondTurn, firstTurn, program);
        if (one.status != 200 || !one.complete || two.status != 200 || !two.complete) {
            return CouldNotRun;
        }
        programs.push_back(program);
    }
    std::this_thread::sleep_until(begin + KillAfter);
    if (run.hasTrouble()) {
        fleet.kill(0);
        run.record().write("the process of VM 1 is killed");
        sleepFor(RestartDelay);
        fleet.start(0);
        run.record().write("the process of VM 1 is started again");
    }
    std::this_thread::sleep_until(begin + ThirdTurnAfter);
    int lost = 0;
    for (Program &program : programs) {
        const std::string before = program.chain;
        const std::string attempt = run.newId();
        const Message answer =
            sendTurn(run, fleet.address(0), "/long/", attempt, program.secondTurn, program);
        const bool isGone = answer.status == 404 || answer.status == 410;
        if (isGone) {
            run.record().write("LOST: turn " + program.secondTurn + " was answered whole "
                               + std::to_string(ThirdTurnAfter.count() / 1000)
                               + " s ago, and is kept for 60 s");
        }
        lost += isGone ? 1 : 0;
        for (const Run &ran : runs.all()) {
            const bool isOther =
                ran.attempt == attempt && ran.body != before + "input of " + attempt + "\n";
            if (isOther) {
                run.record().write("another text than the chain's reached the replica");
            }
        }
    }
    run.record().write(std::to_string(lost) + " of " + std::to_string(Programs)
                       + " conversations are lost");
    return lost > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        Case run(argc, argv);
        return play(run);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return CouldNotRun;
    }
}
