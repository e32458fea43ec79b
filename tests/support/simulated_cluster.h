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
    Milliseconds pause{0};
};

/** A program that a test runs; it retries as a caller would. */
struct Script
{
    std::string entry = "entry";
    std::string program = "program";
    std::vector<ScriptCall> calls;
    /** The last call says that it is the last. */
    bool marksLastCall = true;
    /** Time after which the caller gives up a call. */
    Milliseconds callTimeout{120'000};
};

/** What came of a scripted program. */
struct ScriptResult
{
    bool finished = false;
    std::vector<std::string> verdicts;
    std::vector<Reason> reasons;
    SteadyTime endedAt;
    int losses = 0;
};

/**
 * A few control cores, a table store, backend servers and callers in one
 * queue of events with a hand-driven clock. No network and no processes: it
 * only decides when each event arrives, and checks the promises as it goes.
 */
class SimulatedCluster
{
public:
    explicit SimulatedCluster(std::uint64_t seed, std::size_t vms = 3, Safeguards safeguards = {});
    ~SimulatedCluster();

    // Time.
    void run(Duration duration);
    /** Runs until @p done or until @p limit has passed; false on the latter. */
    bool runUntil(const std::function<bool()> &done, Duration limit);

    // Faults.
    void start(std::size_t vm);
    void kill(std::size_t vm);
    void pause(std::size_t vm);
    void resume(std::size_t vm);
    void terminate(std::size_t vm);
    void setStorePartitioned(std::size_t vm, bool cut);
    void setPeersPartitioned(std::size_t vm, bool cut);
    void startStoreOutage(Duration duration);
    void slowDownStore(Duration duration, Duration delay);
    /** Answers of committed transactions are lost with this probability. */
    void dropStoreAnswers(Duration duration, double share);
    /** The next transaction that @p matches takes effect and its answer is lost. */
    void dropNextStoreAnswer(std::function<bool(const Transaction &)> matches);
    void hangReplica(const std::string &replica, Duration duration);
    void failReplica(const std::string &replica, Duration duration);
    /** Calls at the replica end in the middle of their answers. */
    void breakStreams(const std::string &replica, Duration duration);
    void setLeaving(const std::string &replica, bool leaving);

    // Work.
    /** Puts an entry into the catalogue; by the VM given. */
    void putEntry(const CatalogueEntry &entry, std::size_t by = 0);
    CatalogueEntry makeEntry(const std::string &name) const;
    /** Runs a script in the background; its result is in results(). */
    void runScript(const Script &script);
    const std::map<std::string, ScriptResult> &results() const { return m_results; }
    bool allScriptsEnded() const { return m_openScripts == 0; }

    // State.
    Node *node(std::size_t vm);
    std::size_t ownerOf(const std::string &entry, const std::string &program);
    TableStore &store() { return m_store; }
    ManualClock &clock() { return m_clock; }
    const std::map<std::string, int> &serviceRuns() const { return m_serviceRuns; }
    const std::map<std::string, std::set<std::string>> &programsInMemory() const
    {
        return m_memory;
    }
    /** Calls that were started at a replica at or after @p since. */
    int callsStartedAt(const std::string &replica, SteadyTime since) const;
    /** Promises found broken, one line each. */
    const std::vector<std::string> &violations() const { return m_violations; }
    /** Cost of all calls that a backend server has completed, by entry. */
    Amount spentFor(const std::string &entry) const;
    Settings &settingsOf(std::size_t vm) { return m_vms[vm].settings; }
    /** Called before each event; a test may inject faults at exact moments. */
    void onDispatch(std::function<void(std::size_t vm, const BackendCall &)> hook)
    {
        m_dispatchHook = std::move(hook);
    }
    void onTransact(std::function<void(std::size_t vm, const Transaction &)> hook)
    {
        m_transactHook = std::move(hook);
    }
    void recordViolation(const std::string &violation) { m_violations.push_back(violation); }
    /** Every event line logged by cores, for golden files. */
    std::vector<std::string> &trace() { return m_trace; }

private:
    class Shell;
    struct Event
    {
        SteadyTime at;
        std::uint64_t order;
        std::function<void()> act;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct Vm
    {
        Settings settings;
        std::unique_ptr<Shell> shell;
        std::unique_ptr<Node> node;
        bool paused = false;
        bool storeCut = false;
        bool peersCut = false;
        std::uint64_t process = 0;
        /** Events that wait for a paused process to wake. */
        std::vector<std::function<void()>> frozen;
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

    void at(SteadyTime time, std::function<void()> act);
    void after(Duration delay, std::function<void()> act);
    Duration latency(Milliseconds most);
    /** Runs @p act in the process that VM @p vm has now; later if it is paused, never if it dies.
     */
    void inProcess(std::size_t vm, std::uint64_t process, Duration delay,
                   std::function<void(Node &)> act);
    void tickVm(std::size_t vm, std::uint64_t process);
    bool storeUp(std::size_t vm) const;
    void checkVm(std::size_t vm);
    void checkLedgers();
    /** The recorded turns that a transaction would write again. */
    std::map<std::string, std::string> turnsIn(const Transaction &transaction) const;
    /** A recorded turn must stay as it was. */
    void checkTurns(const std::map<std::string, std::string> &before);

    void callNext(const std::string &name);
    void tryCall(const std::string &name);
    void submitAt(std::size_t vm, CallRequest request, CallHandle handle);
    void onAnswer(const std::string &name, const CallAnswer *answer);
    void endScript(const std::string &name, bool finished);
    CallRequest requestOf(ScriptState &state);
    void startBackend(std::size_t vm, std::uint64_t process, CallHandle handle, BackendCall call);
    void finishBackend(std::size_t vm, std::uint64_t process, CallHandle handle, BackendCall call);
    std::size_t vmAt(const Endpoint &callers) const;
    bool deadOrGone(std::size_t vm, std::uint64_t process) const;

    std::mt19937_64 m_random;
    Safeguards m_safeguards;
    ManualClock m_clock;
    TableStore m_store;
    std::vector<Vm> m_vms;
    /** Cores of killed processes; they may still be on the stack. */
    std::vector<std::unique_ptr<Node>> m_graveyard;
    std::vector<std::unique_ptr<Shell>> m_deadShells;
    std::priority_queue<Event> m_events;
    std::uint64_t m_nextOrder = 1;
    std::uint64_t m_nextProcess = 1;
    std::uint64_t m_nextHandle = 1;
    SteadyTime m_outageUntil;
    SteadyTime m_slowUntil;
    Duration m_slowBy{0};
    SteadyTime m_loseUntil;
    double m_loseShare = 0;
    std::function<bool(const Transaction &)> m_loseNext;
    std::map<std::string, SteadyTime> m_hangUntil;
    std::map<std::string, SteadyTime> m_failUntil;
    std::map<std::string, SteadyTime> m_breakUntil;
    std::set<std::string> m_leaving;
    std::map<CallHandle, Attempt> m_attempts;
    std::map<std::string, ScriptState> m_scripts;
    std::map<std::string, ScriptResult> m_results;
    int m_openScripts = 0;
    int m_engineRuns = 0;
    std::map<std::string, int> m_serviceRuns;
    std::map<std::string, std::set<std::string>> m_memory;
    std::map<std::string, std::vector<SteadyTime>> m_callsAt;
    std::map<std::string, Amount> m_spent;
    std::map<std::string, std::uint32_t> m_newestStarted;
    std::map<std::string, Amount> m_largestBudget;
    std::vector<std::string> m_violations;
    std::vector<std::string> m_trace;
    std::function<void(std::size_t, const BackendCall &)> m_dispatchHook;
    std::function<void(std::size_t, const Transaction &)> m_transactHook;
};

/** How a fake engine's answer to a conversation begins. */
std::string fakeAnswer(const std::string &messages);

} // namespace boragepath
