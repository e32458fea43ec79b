// Turns of the size that the configuration allows end the process, and all requests with it.

#include "../harness.h"

#include <algorithm>
#include <iostream>

using namespace review;

namespace {

/** The size of a body is that of the limit maxBodyBytes of the configuration. */
constexpr std::size_t BodyBytes = 4'194'304;
/** Callers at each VM at a time; in a burst twice as many. */
constexpr std::size_t CalmCallers = 5;
constexpr std::size_t BurstFactor = 2;
constexpr int Rounds = 3;
constexpr std::size_t BusyVms = 2;
constexpr std::int64_t MemoryMegabytes = 140;
constexpr std::int64_t KilobytesPerMegabyte = 1'024;
constexpr Millis MemoryCheckInterval{2};
constexpr Millis RestartDelay{1'000};
/** Between two rounds: no kill or start is still a disruption of the machine then. */
constexpr Millis RoundPause{6'000};
constexpr Millis EventPause{40};
/** Others send postings all the while, each on a channel that is kept. */
constexpr std::size_t PostersPerVm = 8;
constexpr Millis PostingTime{60};
/** The rule takes more than three requests. */
constexpr int AllowedCuts = 3;
constexpr Millis Deadline{4'000};

const char *const Configuration = R"({"version":1,"routes":[
 {"name":"r-long","host":"front.example","prefix":"/long/","kind":"streaming","timeoutMs":4000,
  "targetLatencyMs":250,"priority":0,"service":"llm","maxAttempts":1,"retainContext":true,
  "keepS":60.0,"sticky":true,"resumable":false,"gapAimMs":300},
 {"name":"r-app","host":"front.example","prefix":"/app/","kind":"non_idempotent","timeoutMs":1500,
  "targetLatencyMs":150,"priority":1,"service":"app","maxAttempts":1}],
 "services":[{"name":"llm","healthPath":"/healthz","maxConns":180,"protocol":"h1","tls":false,
  "engine":{"slots":16,"kvTokens":400000,"tokensPerEvent":20,"models":[{"name":"m"}]}},
  {"name":"app","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000}})";

bool answerTurn(Replica &replica, const Message &request, Connection &connection)
{
    constexpr int Events = 5;
    bool isOpen = connection.send(replica.streamHead(request));
    for (int id = 1; isOpen && id <= Events; ++id) {
        sleepFor(EventPause);
        isOpen = connection.send(eventChunk(id, "says " + std::to_string(id)));
    }
    return isOpen && connection.send(LastChunk);
}

bool answerPosting(Replica &replica, const Message &request, Connection &connection)
{
    sleepFor(PostingTime);
    return connection.send(replica.answer(request, "posted"));
}

/** Postings from channels that are kept, and what became of them. */
class Posters
{
public:
    Posters(Case &run, Fleet &fleet, Runs &runs)
        : m_run(run)
        , m_fleet(fleet)
        , m_runs(runs)
    {
        for (std::size_t number = 0; number < PostersPerVm * BusyVms; ++number) {
            m_threads.emplace_back([this, number] { post(number % BusyVms); });
        }
    }
    Posters(const Posters &) = delete;
    Posters &operator=(const Posters &) = delete;
    ~Posters() { stop(); }

    void stop()
    {
        m_isStopped = true;
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }
    int answered() const { return m_answered; }
    int cuts() const { return m_cuts; }

private:
    void post(std::size_t vm)
    {
        while (!m_isStopped) {
            Channel channel(m_fleet.address(vm), Ports::Front);
            bool isOpen = true;
            for (bool isKept = false; isOpen && !m_isStopped; isKept = true) {
                isOpen = postOnce(channel, vm, isKept);
            }
            sleepFor(EventPause);
        }
    }

    bool postOnce(Channel &channel, std::size_t vm, bool isKept)
    {
        Message request;
        request.method = "POST";
        request.target = "/app/posting";
        const std::string attempt = m_run.newId();
        request.fields = {
            {"Host", "front.example"}, {"Attempt-Id", attempt}, {"Deadline-Ms", "1500"}};
        request.body = "a posting";
        const Message reply = channel.exchange(request, Deadline);
        m_answered += reply.complete ? 1 : 0;
        if (isKept && reply.status == 0) {
            const std::vector<Run> all = m_runs.all();
            const bool hasRun = std::any_of(all.begin(), all.end(),
                                            [&](const Run &ran) { return ran.attempt == attempt; });
            m_cuts += hasRun ? 1 : 0;
            m_run.record().write("posting " + attempt + " at VM " + std::to_string(vm + 1)
                                 + (hasRun
                                        ? ": LOST, a replica ran it, its kept channel was closed "
                                        : ": not passed on, its kept channel was closed ")
                                 + "without an answer");
        }
        return reply.complete;
    }

    Case &m_run;
    Fleet &m_fleet;
    Runs &m_runs;
    std::atomic<bool> m_isStopped = false;
    std::atomic<int> m_answered = 0;
    std::atomic<int> m_cuts = 0;
    std::vector<std::thread> m_threads;
};

/** The platform's part: kills a process that exceeds its memory, and starts it again. */
class MemoryGuard
{
public:
    MemoryGuard(Case &run, Fleet &fleet, std::size_t vm)
        : m_run(run)
        , m_fleet(fleet)
        , m_vm(vm)
        , m_thread([this] { watch(); })
    { }
    MemoryGuard(const MemoryGuard &) = delete;
    MemoryGuard &operator=(const MemoryGuard &) = delete;
    ~MemoryGuard() { stop(); }

    void stop()
    {
        m_isStopped = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }
    int kills() const { return m_kills; }
    std::int64_t mostKilobytes() const { return m_most; }

private:
    void watch()
    {
        while (!m_isStopped) {
            const std::int64_t used = m_fleet.anonymousKilobytes(m_vm);
            m_most = std::max<std::int64_t>(m_most, used);
            if (used > MemoryMegabytes * KilobytesPerMegabyte) {
                m_fleet.kill(m_vm);
                m_kills += 1;
                m_run.record().write("VM " + std::to_string(m_vm + 1) + " used "
                                     + std::to_string(used) + " kB of "
                                     + std::to_string(MemoryMegabytes * KilobytesPerMegabyte)
                                     + " kB: the platform has killed its process");
                sleepFor(RestartDelay);
                m_fleet.start(m_vm);
            }
            sleepFor(MemoryCheckInterval);
        }
    }

    Case &m_run;
    Fleet &m_fleet;
    std::size_t m_vm;
    std::atomic<bool> m_isStopped = false;
    std::atomic<int> m_kills = 0;
    std::atomic<std::int64_t> m_most = 0;
    std::thread m_thread;
};

int play(Case &run)
{
    Store store(run.address(1), Ports::Store);
    store.put("op", "config", Configuration);
    Runs runs;
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int number = 1; number <= 6; ++number) {
        const ReplicaEntry entry{"i-" + std::to_string(number), "llm", run.address(30 + number),
                                 Ports::Replica};
        replicas.push_back(std::make_unique<Replica>(entry, store, runs, answerTurn));
    }
    for (int number = 7; number <= 9; ++number) {
        const ReplicaEntry entry{"i-" + std::to_string(number), "app", run.address(30 + number),
                                 Ports::Replica};
        replicas.push_back(std::make_unique<Replica>(entry, store, runs, answerPosting));
    }
    Fleet fleet(run.temporaryFolder(), {run.address(11), run.address(12), run.address(13)},
                run.address(1) + ":" + std::to_string(Ports::Store),
                static_cast<int>(MemoryMegabytes));
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        fleet.start(vm);
    }
    if (!fleet.waitUntilReady()) {
        return CouldNotRun;
    }
    std::vector<std::unique_ptr<MemoryGuard>> guards;
    for (std::size_t vm = 0; vm < BusyVms; ++vm) {
        guards.push_back(std::make_unique<MemoryGuard>(run, fleet, vm));
    }
    Posters posters(run, fleet, runs);
    std::atomic<int> whole = 0;
    std::atomic<int> sent = 0;
    const std::string body(BodyBytes, 'x');
    const auto call = [&](std::size_t vm) {
        const Message request = turn("/long/", run.newId(), run.newId(), body);
        const Message reply = exchange(fleet.address(vm), Ports::Front, request, Deadline);
        sent += 1;
        whole += reply.complete && reply.status == 200 ? 1 : 0;
        run.record().write("turn of " + std::to_string(body.size()) + " bytes at VM "
                           + std::to_string(vm + 1) + " -> " + std::to_string(reply.status)
                           + (reply.complete ? " whole" : " not whole: " + reply.problem));
    };
    for (int round = 0; round < Rounds; ++round) {
        std::vector<std::thread> callers;
        const std::size_t count = CalmCallers * (run.hasTrouble() ? BurstFactor : 1);
        for (std::size_t number = 0; number < count * BusyVms; ++number) {
            callers.emplace_back(call, number % BusyVms);
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        sleepFor(RoundPause);
    }
    posters.stop();
    bool haveAllEnded = true;
    for (const auto &guard : guards) {
        guard->stop();
        haveAllEnded = haveAllEnded && guard->kills() >= Rounds;
        run.record().write("a VM used " + std::to_string(guard->mostKilobytes())
                           + " kB at most; its process ended " + std::to_string(guard->kills())
                           + " times");
    }
    run.record().write(std::to_string(whole) + " of " + std::to_string(sent)
                       + " turns were answered whole");
    run.record().write(
        "postings from kept channels: " + std::to_string(posters.answered()) + " answered, "
        + std::to_string(posters.cuts()) + " ran and got no answer, " + std::to_string(AllowedCuts)
        + " are allowed; each process ended three times: " + (haveAllEnded ? "yes" : "no"));
    return posters.cuts() > AllowedCuts ? RuleBroken : RuleHeld;
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
