// Case 15: a request that crashes replicas, while other callers send the same path and body.

#include "review/harness-3/harness.h"
#include "review/harness-3/replica.h"

#include <set>

namespace {

using namespace review3;

constexpr const char *Host = "desk.example";
constexpr const char *Path = "/status/today";
constexpr const char *Configuration = R"({"version":1,"routes":[{"name":"r-status",
"host":"desk.example","prefix":"/status/","kind":"idempotent","timeoutMs":1000,
"targetLatencyMs":120,"priority":0,"service":"desk-app","maxAttempts":2,"public":false,
"sticky":false}],"services":[{"name":"desk-app","healthPath":"/healthz","maxConns":430,
"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[
{"name":"red","apiKeys":["key-of-red"],"priority":0,"ratePerS":100,"burst":100},
{"name":"blue","apiKeys":["key-of-blue"],"priority":0,"ratePerS":100,"burst":100},
{"name":"green","apiKeys":["key-of-green"],"priority":0,"ratePerS":100,"burst":100}]})";

constexpr std::size_t Vms = 3;
constexpr int Replicas = 6;
constexpr Millis WorkTime{15};
/** A crashed replica is back after this time. */
constexpr Millis DownTime{2'500};
constexpr Millis SoundPause{70};
constexpr Millis RedPause{2'000};
constexpr Millis Calm{4'000};
constexpr Millis Duration{50'000};
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
    /** Attempts of red that reached a replica after the third crash and contactMs. */
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

asio::awaitable<bool> runAtReplica(Case &test, Replica &replica, Socket socket, Request request)
{
    const std::string tenant = field(request, "Tenant");
    const std::string attempt = field(request, "Attempt-Id");
    test.record.line("run " + attempt + " of " + tenant + " at " + replica.facts().id);
    const bool isLate = test.crashes >= CrashesBeforeTheRule
        && test.record.millis() > test.thirdCrashAt + ContactMillis;
    if (tenant == "red" && isLate) {
        test.lateAttempts.insert(attempt);
    }
    const int lifetime = replica.lifetime();
    co_await sleepFor(WorkTime);
    if (lifetime != replica.lifetime() || !replica.isRunning()) {
        co_return false;
    }
    if (tenant == "red" && hasTrouble()) {
        test.record.line("crash of " + replica.facts().id + " by " + attempt);
        test.crashes += 1;
        if (test.crashes == CrashesBeforeTheRule) {
            test.thirdCrashAt = test.record.millis();
        }
        replica.crash();
        asio::co_spawn(test.context, restartLater(test, replica), asio::detached);
        co_return false;
    }
    const std::string answer = replica.answer(request, "status of " + tenant);
    co_return co_await writeAll(socket, answer);
}

asio::awaitable<Answer> send(Case &test, Fleet &fleet, std::string tenant)
{
    const std::string id = tenant + "-" + std::to_string(test.nextId++);
    const std::size_t vm = test.nextVm++ % fleet.size();
    Attempt attempt;
    attempt.target = Path;
    attempt.fields = {{"Credential", "key-of-" + tenant}};
    const Address front = fleet.front(vm);
    const std::string host = Host;
    const Answer answer = co_await request(front, host, id, attempt);
    test.record.line("answer " + id + " by vm " + std::to_string(vm + 1) + " "
                     + std::to_string(answer.status));
    co_return answer;
}

asio::awaitable<void> sendSound(Case &test, Fleet &fleet, std::string tenant)
{
    while (!test.isOver) {
        test.soundAttempts += 1;
        const Answer answer = co_await send(test, fleet, tenant);
        test.soundAnswers += answer.status == 200 ? 1 : 0;
        co_await sleepFor(SoundPause);
    }
}

asio::awaitable<int> run(Case &test)
{
    TemporaryFolder folder;
    Deployment deployment;
    deployment.folder = folder.path();
    deployment.store = test.store.address();
    deployment.contracts = "base,drain,config,cost,recover,tenants,quota,platform";
    for (std::size_t vm = 0; vm < Vms; ++vm) {
        deployment.ips.push_back(test.network + std::to_string(11 + vm));
    }
    test.store.put("op", "config", Configuration);
    for (int index = 1; index <= Replicas; ++index) {
        const Address address{test.network + std::to_string(100 + index), 8'080};
        test.replicas.push_back(std::make_unique<Replica>(
            test.context, test.store, ReplicaFacts{"i-" + std::to_string(index), "desk-app"},
            address, [&test](Replica &replica, Socket socket, const Request &request) {
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
    // With ALONE=1 no other caller sends the path, for comparison.
    if (std::getenv("ALONE") == nullptr) {
        asio::co_spawn(test.context, sendSound(test, fleet, "blue"), asio::detached);
        asio::co_spawn(test.context, sendSound(test, fleet, "green"), asio::detached);
    }
    co_await sleepFor(Calm);
    const std::string red = "red";
    const auto until = Steady::now() + Duration;
    while (Steady::now() < until) {
        co_await send(test, fleet, red);
        co_await sleepFor(RedPause);
    }
    test.isOver = true;
    co_await sleepFor(Millis(1'500));
    for (std::size_t vm = 0; vm < Vms; ++vm) {
        if (!fleet.isRunning(vm)) {
            test.record.line("a daemon is gone");
        }
    }
    test.record.line(
        "crashes " + std::to_string(test.crashes) + ", attempts of red at replicas "
        + "after the third crash and contactMs: " + std::to_string(test.lateAttempts.size())
        + ", allowed " + std::to_string(AllowedRetries) + "; sound answers "
        + std::to_string(test.soundAnswers) + " of " + std::to_string(test.soundAttempts));
    co_return test.lateAttempts.size() > AllowedRetries ? ExitBroken : ExitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    asio::io_context context{1};
    Case test(context, argc > 1 ? argv[1] : "record.txt");
    return runCase(context, run(test));
}
