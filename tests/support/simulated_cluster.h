#pragma once

#include "control/node.h"
#include "standin/table_store.h"
#include "tests/support/manual_clock.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace boragepath {

/** One call of a scripted program. */
struct ScriptCall
{
    bool nonIdempotent = false;
    std::int64_t maxTokens = 10;
    /** Delay before the call. */
    Milliseconds pause{0};
};

/** A program that a test runs. Its calls are retried as a real caller would retry them. */
struct Script
{
    std::string entry = "entry";
    std::string program = "program";
    std::vector<ScriptCall> calls;
    /** Whether the last call is marked as the last one of the program. */
    bool marksLastCall = true;
    /** Time after which the caller gives up on a call and ends the program. */
    Milliseconds callTimeout{120'000};
};

/** The result of a scripted program. */
struct ScriptResult
{
    bool finished = false;
    std::vector<std::string> verdicts;
    std::vector<Reason> reasons;
    SteadyTime endedAt;
    /** Attempts that ended without any answer. */
    int lostAttempts = 0;
};

/**
 * Deterministic simulation of a small deployment: control nodes, a table store, backend servers
 * and callers share one event queue and a manual clock. There is no network and there are no
 * processes. The simulation decides when each event arrives, injects faults, and checks the
 * correctness guarantees after each step.
 */
class SimulatedCluster
{
public:
    explicit SimulatedCluster(std::uint64_t seed, std::size_t vms = 3, Safeguards safeguards = {});
    ~SimulatedCluster();

    // Simulated time.
    void run(Duration duration);
    /** Runs until @p done returns true or @p limit has passed; returns false on the latter. */
    bool runUntil(const std::function<bool()> &done, Duration limit);

    // Faults.
    void start(std::size_t vm);
    /** Ends the process at once, as a crash does. */
    void kill(std::size_t vm);
    void pause(std::size_t vm);
    void resume(std::size_t vm);
    /** Makes the process leave the cluster in an orderly way and end. */
    void terminate(std::size_t vm);
    void setStorePartitioned(std::size_t vm, bool partitioned);
    void setPeersPartitioned(std::size_t vm, bool partitioned);
    void startStoreOutage(Duration duration);
    void slowDownStore(Duration duration, Duration delay);
    /** Drops answers of the store with probability @p share; the transactions still take effect. */
    void dropStoreAnswers(Duration duration, double share);
    /** Drops the answer of the next committed transaction for which @p matches returns true. */
    void dropNextStoreAnswer(std::function<bool(const Transaction &)> matches);
    void hangReplica(const std::string &replica, Duration duration);
    void failReplica(const std::string &replica, Duration duration);
    /** Makes calls at the replica fail in the middle of their answers. */
    void breakStreams(const std::string &replica, Duration duration);
    void setLeaving(const std::string &replica, bool leaving);

    // Workload.
    /** Writes an entry to the catalogue through VM @p by. */
    void putEntry(const CatalogueEntry &entry, std::size_t by = 0);
    CatalogueEntry makeEntry(const std::string &name) const;
    /** Runs a script in the background; its result is in results(). */
    void runScript(const Script &script);
    const std::map<std::string, ScriptResult> &results() const { return m_results; }
    bool allScriptsEnded() const { return m_openScripts == 0; }

    // Observed state.
    Node *node(std::size_t vm);
    std::size_t ownerOf(const std::string &entry, const std::string &program);
    TableStore &store() { return m_store; }
    ManualClock &clock() { return m_clock; }
    const std::map<std::string, int> &serviceRuns() const { return m_serviceRuns; }
    const std::map<std::string, std::set<std::string>> &programsInMemory() const
    {
        return m_programsInMemory;
    }
    /** Number of calls that were started at a replica at or after @p since. */
    int callsStartedAt(const std::string &replica, SteadyTime since) const;
    /** Violated guarantees, one line each. */
    const std::vector<std::string> &violations() const { return m_violations; }
    /** Total cost of the completed calls of an entry. */
    Amount spentFor(const std::string &entry) const;
    Settings &settingsOf(std::size_t vm) { return m_vms[vm].settings; }
    /** Called before each dispatch of a call, so that a test can inject faults at exact moments. */
    void onDispatch(std::function<void(std::size_t vm, const BackendCall &)> hook)
    {
        m_dispatchHook = std::move(hook);
    }
    /** Called before each transaction is sent to the store. */
    void onTransact(std::function<void(std::size_t vm, const Transaction &)> hook)
    {
        m_transactHook = std::move(hook);
    }
    void recordViolation(const std::string &violation) { m_violations.push_back(violation); }
    /** All event lines that the nodes have logged. */
    std::vector<std::string> &trace() { return m_trace; }

private:
    class SimulatedEffects;
    struct Event
    {
        SteadyTime at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct Vm
    {
        Settings settings;
        std::unique_ptr<SimulatedEffects> effects;
        std::unique_ptr<Node> node;
        bool paused = false;
        bool storePartitioned = false;
        bool peersPartitioned = false;
        std::uint64_t process = 0;
        /** Events that arrived while the process was paused; run when it resumes. */
        std::vector<std::function<void()>> deferredEvents;
        CatalogueRevision seenRevision;
    };
    struct Attempt
    {
        std::string script;
        std::size_t vm = 0;
        std::uint64_t process = 0;
        bool dispatched = false;
        CallRequest request;
        std::function<void(const CallAnswer *)> done;
    };
    struct ScriptState
    {
        Script script;
        std::size_t index = 0;
        std::string messages;
        std::string expected;
        SteadyTime callStarted;
        int attempts = 0;
    };

    void at(SteadyTime time, std::function<void()> action);
    void after(Duration delay, std::function<void()> action);
    Duration latency(Milliseconds maximum);
    /** Runs @p action after @p delay in the given process of VM @p vm. It is deferred while the
     * process is paused, and dropped once the process has ended. */
    void runInProcess(std::size_t vm, std::uint64_t process, Duration delay,
                      std::function<void(Node &)> action);
    void tickVm(std::size_t vm, std::uint64_t process);
    bool storeReachable(std::size_t vm) const;
    void checkVm(std::size_t vm);
    void checkBudgets();
    /** Existing turn records that a transaction overwrites, by key. */
    std::map<std::string, std::string> turnsIn(const Transaction &transaction) const;
    /** Reports a violation if a turn record was changed, unless an operator resolved it. */
    void checkTurns(const std::map<std::string, std::string> &before);

    void startNextCall(const std::string &name);
    void startAttempt(const std::string &name);
    void submitTo(std::size_t vm, CallRequest request, CallHandle handle);
    void onAnswer(const std::string &name, const CallAnswer *answer);
    void endScript(const std::string &name, bool finished);
    CallRequest requestOf(ScriptState &state);
    void startBackend(std::size_t vm, std::uint64_t process, CallHandle handle, BackendCall call);
    void finishBackend(std::size_t vm, std::uint64_t process, CallHandle handle, BackendCall call);
    std::size_t vmAt(const Endpoint &callers) const;
    bool hasEnded(std::size_t vm, std::uint64_t process) const;

    std::mt19937_64 m_random;
    Safeguards m_safeguards;
    ManualClock m_clock;
    TableStore m_store;
    std::vector<Vm> m_vms;
    /** Nodes of killed processes; kept because their functions may still be on the call stack. */
    std::vector<std::unique_ptr<Node>> m_endedNodes;
    std::vector<std::unique_ptr<SimulatedEffects>> m_endedEffects;
    std::priority_queue<Event> m_events;
    std::uint64_t m_nextOrder = 1;
    std::uint64_t m_nextProcess = 1;
    std::uint64_t m_nextHandle = 1;
    SteadyTime m_storeOutageUntil;
    SteadyTime m_storeSlowUntil;
    Duration m_storeDelay{0};
    SteadyTime m_dropAnswersUntil;
    double m_dropAnswersShare = 0;
    std::function<bool(const Transaction &)> m_dropNextAnswer;
    std::map<std::string, SteadyTime> m_hangUntil;
    std::map<std::string, SteadyTime> m_failUntil;
    std::map<std::string, SteadyTime> m_breakStreamsUntil;
    std::set<std::string> m_leaving;
    std::map<CallHandle, Attempt> m_attempts;
    std::map<std::string, ScriptState> m_scripts;
    std::map<std::string, ScriptResult> m_results;
    int m_openScripts = 0;
    int m_engineRuns = 0;
    std::map<std::string, int> m_serviceRuns;
    std::map<std::string, std::set<std::string>> m_programsInMemory;
    std::map<std::string, std::vector<SteadyTime>> m_callStartTimes;
    std::map<std::string, Amount> m_spent;
    std::map<std::string, std::uint32_t> m_newestStarted;
    std::map<std::string, Amount> m_largestBudget;
    std::vector<std::string> m_violations;
    std::vector<std::string> m_trace;
    std::function<void(std::size_t, const BackendCall &)> m_dispatchHook;
    std::function<void(std::size_t, const Transaction &)> m_transactHook;
};

/** Prefix of the fake engine's answer to a conversation. */
std::string fakeAnswerPrefix(const std::string &messages);

} // namespace boragepath
