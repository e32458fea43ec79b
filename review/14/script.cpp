// Case 14: the machine that holds a program's grant is killed, and the program can't go on.

#include "review/harness-3/harness.h"
#include "review/harness-3/replica.h"

#include <cstdlib>
#include <set>

namespace {

using namespace review3;

constexpr const char *Host = "desk.example";
constexpr const char *Path = "/dialogue/transfer";
constexpr const char *Configuration = R"({"version":1,"routes":[{"name":"r-dialogue",
"host":"desk.example","prefix":"/dialogue/","kind":"streaming","timeoutMs":4000,
"targetLatencyMs":250,"priority":0,"service":"desk-llm","maxAttempts":2,"retainContext":true,
"keepS":60.0,"sticky":true,"resumable":false,"gapAimMs":300}],"services":[{"name":"desk-llm",
"healthPath":"/healthz","maxConns":210,"protocol":"h1","tls":false,"engine":{"slots":24,
"kvTokens":657246,"kvTokenBytes":163840,"linkMbps":1400000.0,"moves":true,"backups":true,
"tokensPerEvent":20,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,
"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

constexpr std::size_t Vms = 11;
constexpr int Replicas = 6;
constexpr int Slots = 24;
/** Of a turn: 260 tokens, of at most 580. */
constexpr int Events = 13;
constexpr int TokensPerEvent = 20;
constexpr int MaxTurnTokens = 580;
constexpr int Budget = 4'640;
constexpr Millis EventTime{15};
constexpr Millis ThinkTime{20};
constexpr Millis RetryPause{250};
constexpr Millis Deadline{4'000};
constexpr Millis Calm{8'000};
/** Time of a slow tool, in which the killed machine is back and contactMs pass. */
constexpr Millis ToolTime{6'000};
constexpr Millis RestartDelay{1'000};
constexpr int Programs = 12;
constexpr int TurnsBeforeHelpers = 5;
/** Helpers of a program that work at the same time, one turn each. */
constexpr int Helpers = 4;
/** From the beginning of their turns, which take some 200 ms, to the kill. */
constexpr Millis KillDelay{120};
constexpr int TurnsAfterTheKill = 5;
constexpr int Tries = 6;
constexpr int TriesOfTheRule = 5;

struct Program
{
    std::string id;
    /** Of all its lines of turns, in requester attempts that broke off too. */
    int handed = 0;
    int turns = 0;
    std::string holder;
    /** Tries of the turn that reached no replica, with the budget holding it. */
    int failedTries = 0;
    std::string lastStatus;
    Millis retryAfter{0};
};

/** A line of turns: the program's own, or that of a helper. */
struct Line
{
    std::string session;
    std::string lastTurn;
};

struct Case
{
    Case(asio::io_context &io, const std::string &recordPath)
        : context(io)
        , record(recordPath)
        , store(io, {network + "250", 8'142})
    { }

    asio::io_context &context;
    std::string network = loopbackNetwork();
    Record record;
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::vector<Program> programs;
    std::set<std::string> reached;
    int firstTurns = 0;
    int firstTurnsReached = 0;
    int busy = 0;
    std::size_t nextVm = 0;
    int nextId = 1;
    std::size_t killed = 0;
    Steady::time_point deadline = Steady::now() + Millis(35'000);
};

asio::awaitable<bool> runAtReplica(Case &test, Replica &replica, Socket socket, Request request)
{
    const std::string attempt = field(request, "Attempt-Id");
    test.reached.insert(attempt);
    test.record.line("run " + attempt + " at " + replica.facts().id);
    const std::string head = replica.head(200, request)
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    bool isOpen = co_await writeAll(socket, head);
    for (int id = 1; isOpen && id <= Events; ++id) {
        co_await sleepFor(EventTime);
        const std::string event =
            "id: " + std::to_string(id) + "\ndata: word " + std::to_string(id) + "\n\n";
        std::ostringstream chunk;
        chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
        const std::string bytes = chunk.str();
        isOpen = co_await writeAll(socket, bytes);
    }
    const std::string end = "0\r\n\r\n";
    co_return isOpen &&co_await writeAll(socket, end);
}

std::size_t countEvents(const std::string &body)
{
    std::size_t count = 0;
    for (std::size_t at = body.find("\n\n"); at != std::string::npos;
         at = body.find("\n\n", at + 2)) {
        ++count;
    }
    return count;
}

/** Sends one try of a turn; true if it was answered whole. */
asio::awaitable<bool> tryTurn(Case &test, Fleet &fleet, Program &program, Line &line)
{
    const std::string host = Host;
    const std::string id = program.id + "-" + std::to_string(test.nextId++);
    std::size_t vm = test.nextVm++ % fleet.size();
    vm = vm == test.killed ? test.nextVm++ % fleet.size() : vm;
    const Address front = fleet.front(vm);
    const auto left = std::chrono::duration_cast<Millis>(test.deadline - Steady::now());
    Attempt attempt;
    attempt.method = "POST";
    attempt.target = Path;
    attempt.body = "input of " + id;
    attempt.deadline = Deadline;
    attempt.fields = {{"Program-Id", program.id},
                      {"Session-Id", line.session},
                      {"Program-Deadline-Ms", number(left.count())},
                      {"Token-Budget", number(Budget)},
                      {"Token-Usage", "840," + number(MaxTurnTokens)},
                      {"Model", "m"},
                      {"Prompt-Prefix", "5c1e07a2:300,e4402b7d:540"}};
    if (!line.lastTurn.empty()) {
        attempt.fields.push_back({"Previous-Turn", line.lastTurn});
    }
    const Answer answer = co_await request(front, host, id, attempt);
    program.handed += static_cast<int>(countEvents(answer.body)) * TokensPerEvent;
    program.lastStatus = number(answer.status);
    program.retryAfter = std::min<Millis>(answer.retryAfter, Deadline / 3);
    test.record.line("answer " + id + " by vm " + std::to_string(vm + 1) + " " + program.lastStatus
                     + (answer.complete ? "" : ", broken off") + ", handed "
                     + number(program.handed));
    const bool isWhole = answer.status == 200 && answer.complete;
    if (isWhole) {
        line.lastTurn = id;
        program.turns += 1;
    }
    const bool budgetHolds = program.handed + MaxTurnTokens <= Budget;
    program.failedTries = test.reached.contains(id) || !budgetHolds ? 0 : program.failedTries + 1;
    co_return isWhole;
}

/** Goes on with a program until a turn has failed in all its tries. */
asio::awaitable<void> goOn(Case &test, Fleet &fleet, Program &program, Line &line, int turns)
{
    test.busy += 1;
    bool isServed = true;
    for (int turn = 0; isServed && turn < turns; ++turn) {
        isServed = false;
        for (int attempt = 0; !isServed && attempt < Tries; ++attempt) {
            isServed = co_await tryTurn(test, fleet, program, line);
            if (!isServed) {
                // A second attempt honours Retry-After; then the turn is sent again.
                const Millis pause = attempt % 2 == 0 ? program.retryAfter : Millis(0);
                co_await sleepFor(std::max(RetryPause, pause));
            }
        }
        co_await sleepFor(ThinkTime);
    }
    test.busy -= 1;
}

asio::awaitable<void> waitForAll(Case &test)
{
    while (test.busy > 0) {
        co_await sleepFor(Millis(5));
    }
}

/** Name of the machine whose grant stands in the program's row; empty if none does. */
std::string holderOf(const Case &test, const Program &program)
{
    const std::string row = test.store.valueOf("programs", program.id);
    const std::string mark = "\"grant ";
    const std::size_t start = row.find(mark);
    return start == std::string::npos
        ? ""
        : row.substr(start + mark.size(), row.find('/', start) - start - mark.size());
}

asio::awaitable<void> sendFirstTurns(Case &test, Fleet &fleet)
{
    for (int number = 1; number <= 20; ++number) {
        Program program;
        Line line;
        program.id = "first" + std::to_string(number);
        line.session = program.id + "-line";
        co_await tryTurn(test, fleet, program, line);
        test.firstTurns += 1;
        test.firstTurnsReached += program.failedTries == 0 ? 1 : 0;
        co_await sleepFor(Millis(50));
    }
}

asio::awaitable<int> run(Case &test)
{
    TemporaryFolder folder;
    Deployment deployment;
    deployment.folder = folder.path();
    deployment.store = test.store.address();
    for (std::size_t vm = 0; vm < Vms; ++vm) {
        deployment.ips.push_back(test.network + std::to_string(11 + vm));
    }
    test.killed = Vms;
    test.store.put("op", "config", Configuration);
    for (int index = 1; index <= Replicas; ++index) {
        const Address address{test.network + std::to_string(100 + index), 8'080};
        const ReplicaFacts facts{"i-" + std::to_string(index), "desk-llm", "v1", Slots};
        test.replicas.push_back(std::make_unique<Replica>(
            test.context, test.store, facts, address,
            [&test](Replica &replica, Socket socket, const Request &request) {
                return runAtReplica(test, replica, socket, request);
            }));
        test.replicas.back()->start();
    }
    Fleet fleet(deployment, test.record);
    for (std::size_t vm = 0; vm < Vms; ++vm) {
        fleet.start(vm);
    }
    if (!co_await fleet.waitUntilReady(Millis(15'000))) {
        co_return ExitCouldNotRun;
    }
    co_await sleepFor(Calm);
    for (int index = 1; index <= Programs; ++index) {
        test.programs.emplace_back().id = "p" + std::to_string(index);
    }
    std::vector<Line> lines(Programs);
    std::vector<Line> helpers(static_cast<std::size_t>(Programs) * Helpers);
    for (std::size_t index = 0; index < lines.size(); ++index) {
        lines[index].session = test.programs[index].id + "-line";
        asio::co_spawn(test.context,
                       goOn(test, fleet, test.programs[index], lines[index], TurnsBeforeHelpers),
                       asio::detached);
    }
    co_await waitForAll(test);
    for (std::size_t index = 0; index < helpers.size(); ++index) {
        Program &program = test.programs[index / Helpers];
        helpers[index] = {program.id + "-helper" + std::to_string(index),
                          lines[index / Helpers].lastTurn};
        asio::co_spawn(test.context, goOn(test, fleet, program, helpers[index], 1), asio::detached);
    }
    co_await sleepFor(KillDelay);
    std::map<std::string, int> grants;
    for (Program &program : test.programs) {
        program.holder = holderOf(test, program);
        grants[program.holder] += program.holder.empty() ? 0 : 1;
        test.record.line("row of " + program.id + ": "
                         + test.store.valueOf("programs", program.id));
    }
    std::string holder;
    for (const auto &[name, count] : grants) {
        holder = !name.empty() && (holder.empty() || count > grants[holder]) ? name : holder;
    }
    for (std::size_t vm = 0; hasTrouble() && vm < Vms; ++vm) {
        if ("front-a-" + std::to_string(vm + 1) == holder) {
            test.killed = vm;
            fleet.kill(vm);
            co_await sleepFor(RestartDelay);
            fleet.start(vm);
        }
    }
    co_await waitForAll(test);
    co_await sleepFor(ToolTime);
    test.killed = Vms;
    for (std::size_t index = 0; index < lines.size(); ++index) {
        test.programs[index].failedTries = 0;
        asio::co_spawn(test.context,
                       goOn(test, fleet, test.programs[index], lines[index], TurnsAfterTheKill),
                       asio::detached);
    }
    asio::co_spawn(test.context, sendFirstTurns(test, fleet), asio::detached);
    co_await waitForAll(test);
    co_await sleepFor(Millis(1'000));
    int lost = 0;
    for (const Program &program : test.programs) {
        const bool isLost = program.failedTries >= TriesOfTheRule;
        lost += isLost ? 1 : 0;
        test.record.line("program " + program.id
                         + (program.holder == holder ? " of the killed machine" : "") + ": "
                         + number(program.turns) + " turns, handed " + number(program.handed)
                         + " of " + number(Budget) + " tokens, last tries that reached no replica: "
                         + number(program.failedTries) + ", last status " + program.lastStatus
                         + ", row " + test.store.valueOf("programs", program.id));
    }
    test.record.line("turns that reached no replica in five tries, though the budget holds them: "
                     + number(lost) + ", allowed 0; first turns that reached one: "
                     + number(test.firstTurnsReached) + " of " + number(test.firstTurns));
    const bool othersAreServed = test.firstTurnsReached * 10 >= test.firstTurns * 9;
    co_return lost > 0 && othersAreServed ? ExitBroken : ExitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    asio::io_context context{1};
    Case test(context, argc > 1 ? argv[1] : "record.txt");
    return runCase(context, run(test));
}
