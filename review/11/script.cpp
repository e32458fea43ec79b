// Case 11: turns that are lent for while the store is down, and stored turns of the same program.

#include "review/harness-3/harness.h"
#include "review/harness-3/replica.h"

#include <cstdlib>
#include <set>

namespace {

using namespace review3;

constexpr const char *Host = "desk.example";
constexpr const char *StoredPath = "/dialogue/transfer";
constexpr const char *PlainPath = "/query/holdings";
constexpr const char *Configuration = R"({"version":1,"routes":[{"name":"r-dialogue",
"host":"desk.example","prefix":"/dialogue/","kind":"streaming","timeoutMs":4000,
"targetLatencyMs":250,"priority":0,"service":"desk-llm","maxAttempts":2,"retainContext":true,
"keepS":60.0,"sticky":true,"resumable":false,"gapAimMs":300},{"name":"r-query","host":"desk.example",
"prefix":"/query/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":250,"priority":0,
"service":"desk-llm","maxAttempts":2,"retainContext":false,"keepS":60.0,"sticky":true,
"resumable":true,"gapAimMs":300}],"services":[{"name":"desk-llm",
"healthPath":"/healthz","maxConns":210,"protocol":"h1","tls":false,"engine":{"slots":24,
"kvTokens":657246,"kvTokenBytes":163840,"linkMbps":1400000.0,"moves":true,"backups":true,
"tokensPerEvent":20,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,
"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

constexpr std::size_t Vms = 3;
constexpr int Replicas = 6;
constexpr int Slots = 24;
/** Of a turn: 260 tokens, of at most 580. */
constexpr int Events = 13;
constexpr int TokensPerEvent = 20;
constexpr int MaxTurnTokens = 580;
constexpr int Budget = 4'640;
constexpr Millis EventTime{8};
constexpr Millis ThinkTime{20};
constexpr Millis RetryPause{250};
constexpr Millis Deadline{4'000};
constexpr Millis Calm{12'000};
/** The store is down for this long; the programs begin, and all VMs are killed, in that time. */
constexpr Millis OutageBeforeTurns{1'500};
constexpr Millis TurnTime{3'200};
constexpr Millis RestartDelay{1'000};
constexpr Millis CalmAfter{12'000};
constexpr int Programs = 12;
/** In the outage; all of them are served, so that no program fails. */
constexpr int PlainTurns = 8;
constexpr int StoredTurns = 20;
constexpr int Tries = 3;

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
};

/** A line of turns: the program's own, or that of a helper. */
struct Line
{
    std::string session;
    std::string path;
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
    const std::size_t vm = test.nextVm++ % fleet.size();
    const Address front = fleet.front(vm);
    const auto left = std::chrono::duration_cast<Millis>(test.deadline - Steady::now());
    Attempt attempt;
    attempt.method = "POST";
    attempt.target = line.path;
    attempt.body = "input of " + id;
    attempt.deadline = Deadline;
    attempt.fields = {{"Program-Id", program.id},
                      {"Session-Id", line.session},
                      {"Program-Deadline-Ms", number(left.count())},
                      {"Token-Budget", number(Budget)},
                      {"Token-Usage", "840," + number(MaxTurnTokens)},
                      {"Model", "m"},
                      {"Prompt-Prefix", "5c1e07a2:300,e4402b7d:540"}};
    if (!line.lastTurn.empty() && line.path == StoredPath) {
        attempt.fields.push_back({"Previous-Turn", line.lastTurn});
    }
    const Answer answer = co_await request(front, host, id, attempt);
    program.handed += static_cast<int>(countEvents(answer.body)) * TokensPerEvent;
    program.lastStatus = number(answer.status);
    test.record.line("answer " + id + " by vm " + std::to_string(vm + 1) + " " + program.lastStatus
                     + (answer.complete ? "" : ", broken off") + ", handed "
                     + number(program.handed));
    const bool isWhole = answer.status == 200 && answer.complete;
    if (isWhole) {
        line.lastTurn = id;
        program.turns += 1;
    }
    co_return isWhole;
}

/** Goes on with a program until a turn has failed in all its tries, or there is no time left. */
asio::awaitable<void> goOn(Case &test, Fleet &fleet, Program &program, Line &line,
                           Steady::time_point until, int turns)
{
    test.busy += 1;
    bool isServed = true;
    for (int turn = 0; isServed && turn < turns && Steady::now() < until; ++turn) {
        isServed = false;
        for (int attempt = 0; !isServed && attempt < Tries; ++attempt) {
            isServed = co_await tryTurn(test, fleet, program, line);
            if (!isServed && program.lastStatus == "402") {
                break;
            }
            if (!isServed) {
                co_await sleepFor(RetryPause);
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

asio::awaitable<int> run(Case &test)
{
    TemporaryFolder folder;
    Deployment deployment;
    deployment.folder = folder.path();
    deployment.store = test.store.address();
    for (std::size_t vm = 0; vm < Vms; ++vm) {
        deployment.ips.push_back(test.network + std::to_string(11 + vm));
    }
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
    std::vector<Line> plain(Programs);
    std::vector<Line> stored(Programs);
    if (hasTrouble()) {
        test.store.setSilent(true);
        test.record.line("the store is down");
    }
    co_await sleepFor(OutageBeforeTurns);
    const auto until = Steady::now() + TurnTime;
    for (std::size_t index = 0; index < plain.size(); ++index) {
        plain[index] = {test.programs[index].id + "-plain", PlainPath, ""};
        stored[index] = {test.programs[index].id + "-stored", StoredPath, ""};
        asio::co_spawn(test.context,
                       goOn(test, fleet, test.programs[index], plain[index], until, PlainTurns),
                       asio::detached);
    }
    co_await waitForAll(test);
    std::vector<int> handedBefore;
    for (const Program &program : test.programs) {
        handedBefore.push_back(program.handed);
    }
    if (hasTrouble()) {
        for (std::size_t vm = 0; vm < Vms; ++vm) {
            fleet.kill(vm);
        }
        test.store.setSilent(false);
        test.record.line("the store is back");
        co_await sleepFor(RestartDelay);
        for (std::size_t vm = 0; vm < Vms; ++vm) {
            fleet.start(vm);
        }
        if (!co_await fleet.waitUntilReady(Millis(15'000))) {
            co_return ExitCouldNotRun;
        }
    }
    co_await sleepFor(CalmAfter);
    for (std::size_t index = 0; index < stored.size(); ++index) {
        asio::co_spawn(test.context,
                       goOn(test, fleet, test.programs[index], stored[index],
                            Steady::now() + Millis(20'000), StoredTurns),
                       asio::detached);
    }
    co_await waitForAll(test);
    int exceeded = 0;
    for (std::size_t index = 0; index < test.programs.size(); ++index) {
        const Program &program = test.programs[index];
        exceeded += program.handed > Budget + MaxTurnTokens ? 1 : 0;
        test.record.line("program " + program.id + ": handed " + number(handedBefore[index])
                         + " tokens in the outage, " + number(program.handed) + " in all, budget "
                         + number(Budget) + ", last status " + program.lastStatus + ", row "
                         + test.store.valueOf("programs", program.id));
    }
    test.record.line("programs that were handed more than their budget and the most of one turn ("
                     + number(Budget + MaxTurnTokens) + "): " + number(exceeded) + " of "
                     + number(Programs) + ", allowed 0");
    co_return exceeded > 0 ? ExitBroken : ExitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    asio::io_context context{1};
    Case test(context, argc > 1 ? argv[1] : "record.txt");
    return runCase(context, run(test));
}
