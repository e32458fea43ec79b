// Trial: a turn that crashes replicas comes again in conversation after conversation.

#include "review/harness-3/harness.h"
#include "review/harness-3/replica.h"

#include <cstdlib>
#include <set>

namespace {

using namespace review3;

constexpr const char *Host = "desk.example";
constexpr const char *Path = "/dialogue/transfer";
constexpr const char *FirstInput = "{\"say\":\"I inherit the shares of member 4711\"}";
constexpr const char *CrashingInput = "{\"say\":\"import row 17\"}";
constexpr const char *Configuration = R"({"version":1,"routes":[{"name":"r-dialogue",
"host":"desk.example","prefix":"/dialogue/","kind":"streaming","timeoutMs":4000,
"targetLatencyMs":250,"priority":0,"service":"desk-llm","maxAttempts":1,"retainContext":true,
"keepS":60.0,"public":false,"sticky":true,"resumable":false,"gapAimMs":400}],"services":[
{"name":"desk-llm","healthPath":"/healthz","maxConns":490,"protocol":"h1","tls":false,
"engine":{"slots":16,"kvTokens":350508,"kvTokenBytes":18432,"linkMbps":1500000.0,"moves":true,
"backups":true,"tokensPerEvent":20,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,
"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[
{"name":"red","apiKeys":["key-of-red"],"priority":0,"ratePerS":100,"burst":100},
{"name":"blue","apiKeys":["key-of-blue"],"priority":0,"ratePerS":100,"burst":100}]})";

constexpr std::size_t Vms = 3;
constexpr int Replicas = 6;
constexpr int Slots = 16;
constexpr int Events = 4;
constexpr Millis EventTime{15};
/** A crashed replica is back after this time. */
constexpr Millis DownTime{2'500};
constexpr Millis SoundPause{250};
constexpr Millis RedPause{2'000};
constexpr Millis Calm{4'000};
constexpr Millis Duration{50'000};
constexpr Millis Deadline{4'000};
constexpr std::int64_t ContactMillis = 3'000;
constexpr int CrashesBeforeTheRule = 3;
/** Retries that may reach replicas by then. */
constexpr std::size_t AllowedRetries = 3;

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
    int crashes = 0;
    std::int64_t thirdCrashAt = 0;
    /** Attempts of the turn that reached a replica after the third crash and contactMs. */
    std::set<std::string> lateAttempts;
    int soundAnswers = 0;
    int soundAttempts = 0;
    bool isOver = false;
    std::size_t nextVm = 0;
    int nextId = 1;
};

asio::awaitable<void> restartLater(Case &test, Replica &replica)
{
    co_await sleepFor(DownTime);
    replica.start();
    test.record.line("replica " + replica.facts().id + " is back");
}

void noteCrash(Case &test, Replica &replica, const std::string &attempt)
{
    test.record.line("crash of " + replica.facts().id + " by " + attempt);
    test.crashes += 1;
    if (test.crashes == CrashesBeforeTheRule) {
        test.thirdCrashAt = test.record.millis();
    }
    replica.crash();
    asio::co_spawn(test.context, restartLater(test, replica), asio::detached);
}

asio::awaitable<bool> runAtReplica(Case &test, Replica &replica, Socket socket, Request request)
{
    const std::string attempt = field(request, "Attempt-Id");
    const bool isCrashing = request.body().ends_with(CrashingInput);
    test.record.line("run " + attempt + " at " + replica.facts().id);
    const bool isLate = test.crashes >= CrashesBeforeTheRule
        && test.record.millis() > test.thirdCrashAt + ContactMillis;
    if (isCrashing && isLate) {
        test.lateAttempts.insert(attempt);
    }
    const int lifetime = replica.lifetime();
    co_await sleepFor(EventTime);
    if (lifetime != replica.lifetime() || !replica.isRunning()) {
        co_return false;
    }
    if (isCrashing && hasTrouble()) {
        noteCrash(test, replica, attempt);
        co_return false;
    }
    const std::string head = replica.head(200, request)
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    bool isOpen = co_await writeAll(socket, head);
    for (int id = 1; isOpen && id <= Events; ++id) {
        const std::string event =
            "id: " + std::to_string(id) + "\ndata: word " + std::to_string(id) + "\n\n";
        std::ostringstream chunk;
        chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
        const std::string bytes = chunk.str();
        isOpen = co_await writeAll(socket, bytes);
        co_await sleepFor(EventTime);
        if (lifetime != replica.lifetime() || !replica.isRunning()) {
            co_return false;
        }
    }
    const std::string end = "0\r\n\r\n";
    co_return isOpen &&co_await writeAll(socket, end);
}

/** Sends one turn, and returns its id if it was answered whole; else an empty text. */
asio::awaitable<std::string> sendTurn(Case &test, Fleet &fleet, std::string tenant,
                                      std::string program, std::string previous, std::string input)
{
    const std::string host = Host;
    const std::string id = program + "-" + std::to_string(test.nextId++);
    const std::size_t vm = test.nextVm++ % fleet.size();
    const Address front = fleet.front(vm);
    Attempt attempt;
    attempt.method = "POST";
    attempt.target = Path;
    attempt.body = input;
    attempt.deadline = Deadline;
    attempt.fields = {{"Credential", "key-of-" + tenant},
                      {"Program-Id", program},
                      {"Session-Id", program + "-line"},
                      {"Program-Deadline-Ms", "20000"},
                      {"Token-Budget", "20000"},
                      {"Token-Usage", "400,200"},
                      {"Model", "m"},
                      {"Prompt-Prefix", "5c1e07a2:300,e4402b7d:100"}};
    if (!previous.empty()) {
        attempt.fields.push_back({"Previous-Turn", previous});
    }
    const Answer answer = co_await request(front, host, id, attempt);
    test.record.line("answer " + id + " by vm " + std::to_string(vm + 1) + " "
                     + std::to_string(answer.status) + (answer.complete ? "" : ", broken off"));
    const bool isWhole = answer.status == 200 && answer.complete;
    co_return isWhole ? id : std::string();
}

asio::awaitable<void> talk(Case &test, Fleet &fleet, std::string program)
{
    const std::string tenant = "blue";
    std::string previous;
    for (int turn = 1; turn <= 3; ++turn) {
        const std::string input =
            "{\"say\":\"turn " + std::to_string(turn) + " of " + program + "\"}";
        test.soundAttempts += 1;
        previous = co_await sendTurn(test, fleet, tenant, program, previous, input);
        test.soundAnswers += previous.empty() ? 0 : 1;
        if (previous.empty()) {
            co_return;
        }
    }
}

asio::awaitable<void> sendSound(Case &test, Fleet &fleet)
{
    for (int number = 1; !test.isOver; ++number) {
        asio::co_spawn(test.context, talk(test, fleet, "blue" + std::to_string(number)),
                       asio::detached);
        co_await sleepFor(SoundPause);
    }
}

asio::awaitable<int> run(Case &test)
{
    TemporaryFolder folder;
    Deployment deployment;
    deployment.folder = folder.path();
    deployment.store = test.store.address();
    deployment.contracts =
        "base,drain,config,cost,recover,agent,stream,engine,tenants,quota,platform";
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
    if (!co_await fleet.waitUntilReady(Millis(10'000))) {
        co_return ExitCouldNotRun;
    }
    co_await sleepFor(Calm);
    asio::co_spawn(test.context, sendSound(test, fleet), asio::detached);
    co_await sleepFor(Calm);
    const std::string tenant = "red";
    const std::string none;
    const std::string firstInput = FirstInput;
    const std::string crashingInput = CrashingInput;
    // With FIRST=1 the turn comes at the start of each conversation, for comparison.
    const bool isFirstTurn = std::getenv("FIRST") != nullptr;
    const auto until = Steady::now() + Duration;
    for (int number = 1; Steady::now() < until; ++number) {
        const std::string program = "red" + std::to_string(number);
        std::string previous;
        if (!isFirstTurn) {
            previous = co_await sendTurn(test, fleet, tenant, program, none, firstInput);
        }
        if (isFirstTurn || !previous.empty()) {
            co_await sendTurn(test, fleet, tenant, program, previous, crashingInput);
        }
        co_await sleepFor(RedPause);
    }
    test.isOver = true;
    co_await sleepFor(Deadline + Millis(500));
    for (std::size_t vm = 0; vm < Vms; ++vm) {
        if (!fleet.isRunning(vm)) {
            test.record.line("a daemon is gone");
        }
    }
    test.record.line("crashes " + std::to_string(test.crashes)
                     + ", attempts of the turn at replicas after the third crash and contactMs: "
                     + std::to_string(test.lateAttempts.size()) + ", allowed "
                     + std::to_string(AllowedRetries) + "; sound answers "
                     + std::to_string(test.soundAnswers) + " of "
                     + std::to_string(test.soundAttempts));
    co_return test.lateAttempts.size() > AllowedRetries ? ExitBroken : ExitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    asio::io_context context{1};
    Case test(context, argc > 1 ? argv[1] : "record.txt");
    return runCase(context, run(test));
}
