// After all VMs were killed at once, programs can use half of their budgets only.

#include "../harness-2/harness.h"

#include <algorithm>
#include <iostream>

using namespace review;

namespace {

constexpr int Programs = 24;
constexpr int Turns = 8;
constexpr int MemoryMegabytes = 140;
constexpr int Replicas = 4;
constexpr int ReplicaSlots = 24;
constexpr int EventsPerTurn = 20;
constexpr Millis EventPause{15};
/** Of the tools that a program calls between two turns. */
constexpr Millis ToolTime{600};
/** What a turn of a program takes on an idle replica, with its way. */
constexpr Millis TurnTime{331};
/** The aim of a program, as on the sheet: 1.8 times its time on idle replicas, and 250 ms. */
constexpr Millis Aim{(TurnTime + ToolTime) * Turns * 18 / 10 + Millis(250)};
constexpr Millis Deadline{4'000};
constexpr Millis RestartDelay{2'000};
/** After the VMs are ready again; contactMs is 3 s. */
constexpr Millis CalmTime{12'000};
/** A requester tries each turn twice, and sends a turn that has failed twice more. */
constexpr int TriesPerTurn = 2;
constexpr int SendsPerTurn = 3;
constexpr Millis PauseBeforeNextSend{250};
/** The rule takes a turn that reaches no replica in so many tries. */
constexpr int TriesOfRule = 5;

const char *const Configuration = R"({"version":1,"routes":[
 {"name":"r-long","host":"front.example","prefix":"/long/","kind":"streaming","timeoutMs":4000,
  "targetLatencyMs":250,"priority":0,"service":"llm","maxAttempts":1,"retainContext":true,
  "keepS":60.0,"sticky":true,"resumable":false,"gapAimMs":300}],
 "services":[{"name":"llm","healthPath":"/healthz","maxConns":180,"protocol":"h1","tls":false,
  "engine":{"slots":24,"kvTokens":400000,"tokensPerEvent":20,"models":[{"name":"m"}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000}})";

bool answerTurn(Replica &replica, const Message &request, Connection &connection)
{
    bool isOpen = connection.send(replica.streamHead(request));
    for (int id = 1; isOpen && id <= EventsPerTurn; ++id) {
        sleepFor(EventPause);
        isOpen = connection.send(eventChunk(id, "word " + std::to_string(id)));
    }
    return isOpen && connection.send(LastChunk);
}

void setField(Message &request, const std::string &name, const std::string &value)
{
    for (Field &field : request.fields) {
        if (field.name == name) {
            field.value = value;
        }
    }
}

/** One program with its requester; follows what the pages say of tries and Retry-After. */
class Program
{
public:
    Program(Case &run, const Fleet &fleet, Runs &runs, std::size_t number)
        : m_run(run)
        , m_fleet(fleet)
        , m_runs(runs)
        , m_id(run.newId())
        , m_vm(number)
    { }

    void play()
    {
        m_begin = Clock::now();
        for (int number = 1; number <= Turns; ++number) {
            if (!takeTurn(number)) {
                return;
            }
            m_turnsDone = number;
            sleepFor(ToolTime);
        }
    }
    int turnsDone() const { return m_turnsDone; }
    bool isLost() const { return m_isLost; }

private:
    bool takeTurn(int number)
    {
        int inTime = 0;
        std::string statuses;
        for (int send = 0; send < SendsPerTurn; ++send) {
            for (int attempt = 0; attempt < TriesPerTurn; ++attempt) {
                const std::string id = m_run.newId();
                const Message reply = sendTurn(id);
                inTime += Clock::now() < m_begin + Aim ? 1 : 0;
                statuses += " " + std::to_string(reply.status);
                if (reply.status == 200 && reply.complete) {
                    m_previous = id;
                    return true;
                }
                m_hasReachedReplica = m_hasReachedReplica || hasRun(id);
                const std::string retryAfter = reply.header("Retry-After");
                if (attempt + 1 < TriesPerTurn && !retryAfter.empty()) {
                    const Millis wanted(static_cast<int>(std::stod(retryAfter) * 1'000));
                    sleepFor(std::min(wanted, Deadline / 3));
                }
            }
            sleepFor(PauseBeforeNextSend);
        }
        m_isLost = !m_previous.empty() && inTime >= TriesOfRule && !m_hasReachedReplica;
        m_run.record().write("program " + m_id + ": turn " + std::to_string(number) + " after "
                             + m_previous + " got" + statuses + "; " + std::to_string(inTime)
                             + " tries before the program's aim"
                             + (m_isLost ? "; LOST: it reached no replica" : ""));
        return false;
    }

    Message sendTurn(const std::string &attempt)
    {
        Message request = turn("/long/", attempt, m_id, "an input\n");
        setField(request, "Token-Budget", "4640");
        setField(request, "Token-Usage", "100,580");
        const auto left = std::chrono::duration_cast<Millis>(m_begin + Aim - Clock::now());
        setField(request, "Program-Deadline-Ms", std::to_string(std::max<long>(0, left.count())));
        if (!m_previous.empty()) {
            request.fields.push_back({"Previous-Turn", m_previous});
        }
        return exchange(m_fleet.address(m_vm++ % m_fleet.size()), Ports::Front, request, Deadline);
    }

    bool hasRun(const std::string &attempt) const
    {
        const std::vector<Run> all = m_runs.all();
        return std::any_of(all.begin(), all.end(),
                           [&](const Run &ran) { return ran.attempt == attempt; });
    }

    Case &m_run;
    const Fleet &m_fleet;
    Runs &m_runs;
    std::string m_id;
    std::size_t m_vm;
    Clock::time_point m_begin;
    std::string m_previous;
    int m_turnsDone = 0;
    bool m_hasReachedReplica = false;
    bool m_isLost = false;
};

int play(Case &run)
{
    Store store(run.address(1), Ports::Store);
    store.put("op", "config", Configuration);
    Runs runs;
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int number = 1; number <= Replicas; ++number) {
        ReplicaEntry entry{"i-" + std::to_string(number), "llm", run.address(30 + number),
                           Ports::Replica};
        entry.slots = ReplicaSlots;
        replicas.push_back(std::make_unique<Replica>(entry, store, runs, answerTurn));
    }
    Fleet fleet(run.temporaryFolder(), {run.address(11), run.address(12), run.address(13)},
                run.address(1) + ":" + std::to_string(Ports::Store), MemoryMegabytes);
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        fleet.start(vm);
    }
    if (!fleet.waitUntilReady()) {
        return CouldNotRun;
    }
    if (run.hasTrouble()) {
        for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
            fleet.kill(vm);
        }
        run.record().write("the processes of all VMs are killed; no program is under way");
        sleepFor(RestartDelay);
        for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
            fleet.start(vm);
        }
    }
    if (!fleet.waitUntilReady()) {
        return CouldNotRun;
    }
    sleepFor(CalmTime);
    run.record().write("the programs begin");
    std::vector<std::unique_ptr<Program>> programs;
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < Programs; ++number) {
        programs.push_back(std::make_unique<Program>(run, fleet, runs, number));
        threads.emplace_back([program = programs.back().get()] { program->play(); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    int lost = 0;
    int ended = 0;
    int begun = 0;
    for (const auto &program : programs) {
        lost += program->isLost() ? 1 : 0;
        begun += program->turnsDone() > 0 ? 1 : 0;
        ended += program->turnsDone() == Turns ? 1 : 0;
    }
    run.record().write(std::to_string(begun) + " of " + std::to_string(Programs)
                       + " first turns were served, " + std::to_string(ended)
                       + " programs ended whole, " + std::to_string(lost)
                       + " have a turn that reached no replica in five tries");
    if (begun * 10 < Programs * 9) {
        return CouldNotRun;
    }
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
