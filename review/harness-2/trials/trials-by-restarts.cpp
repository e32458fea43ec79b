// Each restart of a VM lets a request that crashes replicas through once more.

#include "../harness.h"

#include <iostream>
#include <set>

using namespace review;

namespace {

constexpr int Replicas = 8;
constexpr int MemoryMegabytes = 140;
/** A request to this path crashes the replica that runs it, which is back some seconds later. */
constexpr const char *DeadlyTarget = "/app/deadly";
constexpr Millis CrashAfter{100};
constexpr Millis BackAfter{4'000};
constexpr Millis FirstRequestsApart{40};
constexpr int FirstRequests = 3;
/** The request comes again so often, at each VM in turn. */
constexpr Millis ComesAgainAfter{300};
constexpr Millis Length{105'000};
constexpr Millis Deadline{1'000};
/** Times of the rule, and the retries that it allows. */
constexpr Millis ContactTime{3'000};
constexpr int CrashesBefore = 3;
constexpr int AllowedRetries = 3;
/** After a crash, the VM that had passed the request on is killed; it is started again soon. */
constexpr Millis KillAfterCrash{2'000};
constexpr Millis RestartDelay{1'000};
constexpr int MostKills = 4;

const char *const Configuration = R"({"version":1,"routes":[
 {"name":"r-app","host":"front.example","prefix":"/app/","kind":"idempotent","timeoutMs":1000,
  "targetLatencyMs":60,"priority":1,"service":"app","maxAttempts":1}],
 "services":[{"name":"app","healthPath":"/healthz","maxConns":180,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000}})";

Message deadlyRequest(const std::string &attempt)
{
    Message request;
    request.method = "GET";
    request.target = DeadlyTarget;
    request.fields = {{"Host", "front.example"}, {"Attempt-Id", attempt}, {"Deadline-Ms", "1000"}};
    return request;
}

bool answerRequest(Replica &replica, const Message &request, Connection &connection)
{
    if (request.target != DeadlyTarget) {
        return connection.send(replica.answer(request, "the answer"));
    }
    sleepFor(CrashAfter);
    replica.crash();
    return false;
}

/** Replicas that crash and come back, each time as a new lifetime at another address. */
class Service
{
public:
    Service(Case &run, Store &store, Runs &runs)
        : m_run(run)
        , m_store(store)
        , m_runs(runs)
        , m_crashedAt(Replicas)
    {
        for (int place = 0; place < Replicas; ++place) {
            m_replicas.push_back(newReplica());
        }
    }

    /** Starts replicas again whose time has come. */
    void maintain()
    {
        for (std::size_t place = 0; place < m_replicas.size(); ++place) {
            if (!m_replicas[place]->hasCrashed()) {
                continue;
            }
            if (!m_crashedAt[place].has_value()) {
                m_crashedAt[place] = Clock::now();
                m_run.record().write("replica " + m_replicas[place]->entry().id + " has crashed");
            } else if (Clock::now() >= *m_crashedAt[place] + BackAfter) {
                m_gone.push_back(std::move(m_replicas[place]));
                m_replicas[place] = newReplica();
                m_crashedAt[place].reset();
            }
        }
    }

private:
    std::unique_ptr<Replica> newReplica()
    {
        const int number = m_next++;
        const ReplicaEntry entry{"i-" + std::to_string(number), "app", m_run.address(30 + number),
                                 Ports::Replica};
        return std::make_unique<Replica>(entry, m_store, m_runs, answerRequest);
    }

    Case &m_run;
    Store &m_store;
    Runs &m_runs;
    int m_next = 1;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::vector<std::optional<Clock::time_point>> m_crashedAt;
    /** Their entries are removed from the store by and by. */
    std::vector<std::unique_ptr<Replica>> m_gone;
};

/** The deadly request, sent at a VM on a thread of its own. */
std::thread sendDeadly(Case &run, const std::string &vm, const std::string &attempt)
{
    return std::thread([&run, vm, attempt] {
        const Message reply = exchange(vm, Ports::Front, deadlyRequest(attempt), Deadline);
        run.record().write("deadly request " + attempt + " at " + vm + " -> "
                           + std::to_string(reply.status) + " " + reply.problem);
    });
}

int play(Case &run)
{
    Store store(run.address(1), Ports::Store);
    store.put("op", "config", Configuration);
    Runs runs;
    Service service(run, store, runs);
    Fleet fleet(run.temporaryFolder(), {run.address(11), run.address(12), run.address(13)},
                run.address(1) + ":" + std::to_string(Ports::Store), MemoryMegabytes);
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        fleet.start(vm);
    }
    if (!fleet.waitUntilReady()) {
        return CouldNotRun;
    }
    const Clock::time_point begin = Clock::now();
    std::map<std::string, std::size_t> sentAt;
    std::vector<std::thread> callers;
    const auto send = [&](std::size_t vm) {
        const std::string attempt = run.newId();
        sentAt[attempt] = vm;
        callers.push_back(sendDeadly(run, fleet.address(vm), attempt));
    };
    for (int number = 0; number < FirstRequests; ++number) {
        send(0);
        sleepFor(FirstRequestsApart);
    }
    std::vector<Clock::time_point> startedAt(fleet.size(), begin - ContactTime);
    std::optional<Clock::time_point> thirdCrash;
    std::set<std::string> crashed;
    std::size_t runsSeen = 0;
    int retries = 0;
    int kills = 0;
    for (std::size_t round = 0; Clock::now() < begin + Length; ++round) {
        sleepFor(ComesAgainAfter);
        send(round % fleet.size());
        service.maintain();
        const std::vector<Run> all = runs.all();
        for (; runsSeen < all.size(); ++runsSeen) {
            const Run &ran = all[runsSeen];
            const std::size_t vm = sentAt.at(ran.attempt);
            crashed.insert(ran.replica);
            if (!thirdCrash.has_value() && crashed.size() == CrashesBefore) {
                thirdCrash = ran.at + CrashAfter;
            }
            const bool isInTouch = ran.at >= startedAt[vm] + ContactTime;
            const bool counts =
                thirdCrash.has_value() && ran.at > *thirdCrash + ContactTime && isInTouch;
            retries += counts ? 1 : 0;
            run.record().write(
                "replica " + ran.replica + " began to run " + ran.attempt + " of VM "
                + std::to_string(vm + 1)
                + (counts ? ", retry " + std::to_string(retries) + " that counts" : ""));
            const bool isLate = ran.at > begin + ContactTime;
            if (run.hasTrouble() && isLate && kills < MostKills) {
                sleepFor(KillAfterCrash);
                fleet.kill(vm);
                run.record().write("the process of VM " + std::to_string(vm + 1) + " is killed");
                sleepFor(RestartDelay);
                fleet.start(vm);
                startedAt[vm] = Clock::now();
                kills += 1;
            }
        }
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    run.record().write(std::to_string(crashed.size()) + " replicas crashed; "
                       + std::to_string(retries) + " retries count, "
                       + std::to_string(AllowedRetries) + " are allowed; " + std::to_string(kills)
                       + " kills");
    if (!thirdCrash.has_value()) {
        return CouldNotRun;
    }
    return retries > AllowedRetries ? RuleBroken : RuleHeld;
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
