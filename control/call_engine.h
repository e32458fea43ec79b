#pragma once

#include "control/catalogue.h"
#include "control/commit_queue.h"
#include "control/effects.h"
#include "control/ledger.h"
#include "control/members.h"
#include "control/permit_client.h"
#include "control/program.h"
#include "control/replica_loads.h"
#include "control/table_reader.h"
#include "core/settings.h"

#include <functional>
#include <map>
#include <random>
#include <set>

namespace boragepath {

/**
 * Safeguards of the call engine. Production runs with all of them; tests disable one at a time to
 * show which failure it prevents.
 */
struct CallSafeguards
{
    /** A non-idempotent call is sent only after its intent row is durable. */
    bool intents = true;
    /** The caller gets the final answer only after the turn row is durable. */
    bool recordBeforeAnswer = true;
    /** An ended program's memory is released at every replica that it used. */
    bool release = true;
    /** A call reserves its maximum cost from a durable budget grant before it is sent. */
    bool reserve = true;
    /** The calls of a program run one after another, in the order of their call numbers. */
    bool order = true;
};

/** Counters of the call engine for metrics and reports. */
struct CallStatistics
{
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t replayed = 0;
    std::uint64_t mayHaveRun = 0;
    std::uint64_t retries = 0;
    std::uint64_t moves = 0;
    std::uint64_t programsStarted = 0;
    std::uint64_t programsEnded = 0;
    std::uint64_t programsLoaded = 0;
    std::uint64_t releasesSent = 0;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    std::int64_t completionTokens = 0;
    std::map<Reason, std::uint64_t> refusals;
};

/** How a program ended, as input to the burn report. */
struct ProgramOutcome
{
    EntryName entry;
    Duration latency{0};
    bool refused = false;
};

/** The objects that the call engine uses. All of them must outlive it. */
struct CallEngineDependencies
{
    const Settings &settings;
    const Clock &clock;
    Effects &effects;
    CommitQueue &commits;
    TableReader &reader;
    Ledger &ledger;
    PermitClient &permits;
    ReplicaLoads &loads;
    const Members &members;
    const Catalogue &catalogue;
};

/**
 * Processes the calls of all programs that this VM owns, from arrival to final answer.
 *
 * The engine runs the calls of a program in order, keeps the program's history, sends
 * non-idempotent calls at most once, and decides the verdict of each call. A call passes through
 * the stages of CallStage. It ends either in finish(), with a recorded turn, or in refuse(), with
 * a verdict.
 */
class CallEngine
{
public:
    CallEngine(CallEngineDependencies dependencies, std::uint64_t seed, CallSafeguards safeguards);

    /** Accepts an admitted call of a program whose shard this VM owns. */
    void submit(CallRequest request);
    /** Handles the outcome of a call that was dispatched to a backend server. */
    void onBackendOutcome(CallHandle handle, const BackendOutcome &outcome);
    /** Handles a replica's reply to the memory release request @p id. */
    void onReleased(std::uint64_t id, bool acknowledged);
    /**
     * Handles a caller's disconnect. A call that no other caller waits for is dropped unless it has
     * been sent. If its intent is being committed, it is dropped after that commit.
     */
    void onCallerDisconnected(CallHandle handle);
    /**
     * Ends a program. @p done gets true once the end is durable, or false if a call of the program
     * is under way or the commit failed.
     */
    void endProgram(const ProgramKey &key, std::function<void(bool)> done);
    /** Applies timeouts, retries and cache limits, at most once every 100 ms. */
    void tick();

    /** Reads the open programs of shards that this VM has just taken over. */
    void loadOpenPrograms(const std::vector<ShardIndex> &shards);
    /** True if no program of the shard has a call or a load under way. */
    bool shardIdle(ShardIndex shard) const;
    /** Stops timer-driven work in a shard that is being handed over to another VM. */
    void suspendShard(ShardIndex shard) { m_suspendedShards.insert(shard); }
    /** Undoes suspendShard() after a hand-over that was abandoned. */
    void resumeShard(ShardIndex shard) { m_suspendedShards.erase(shard); }
    /** Removes the programs of a shard that another VM owns now. */
    void dropShard(ShardIndex shard);
    /** Ends every call and clears all state, because this incarnation lost its ownership. */
    void reset();
    /**
     * Compares the programs that a replica holds in memory with the open programs of this VM.
     * Programs that have ended or are unknown are released there; for an open program the replica
     * is noted for its later release. Shards whose open rows have not been read are skipped.
     */
    void reconcileHeldPrograms(const ReplicaId &replica, const std::vector<ProgramKey> &programs);

    /** Calls that have not been answered, including those that wait for their turn. */
    std::size_t callsUnderWay() const;
    std::size_t programCount() const { return m_programs.size(); }
    /** Programs of @p entry in memory that have not ended. */
    std::int64_t programsUnderWay(const EntryName &entry) const;
    /** Size of the histories in memory, in bytes. */
    std::int64_t cachedBytes() const;
    const CallStatistics &statistics() const { return m_statistics; }
    const std::map<ProgramKey, Program> &programs() const { return m_programs; }
    /** Returns the outcomes of programs that ended since the previous call, and clears them. */
    std::vector<ProgramOutcome> takeOutcomes();

private:
    struct Release
    {
        ProgramKey program;
        ReplicaId replica;
    };

    Program &findOrCreateProgram(const ProgramKey &key);
    Program *findProgram(const ProgramKey &key);
    void load(Program &program);
    void onLoaded(const ProgramKey &key, std::uint64_t loadId, const RangeOutcome &outcome);
    void closeOrphanedIntent(Program &program, const IntentRecord &intent);
    void sequenceCall(Program &program, CallRequest request);
    void replay(Program &program, const CallRequest &request);
    bool admit(Program &program, const CallRequest &request);
    void start(Program &program, CallRequest request);
    void reserve(Program &program);
    void placeCall(Program &program);
    double meanServiceMillis(const PoolName &pool) const;
    std::vector<ReplicaView> candidateReplicas(const ActiveCall &call,
                                               const PoolSettings &pool) const;
    void requestPermit(Program &program, const PoolSettings &pool);
    void onPermitReply(const ProgramKey &key, CallNumber number, PermitId permit,
                       const PermitReply &reply);
    void considerMove(Program &program, const PermitReply &reply);
    void onPermitGranted(Program &program);
    void commitIntent(Program &program);
    void dispatch(Program &program);
    void finish(Program &program, const BackendOutcome &outcome);
    void recordTurn(Program &program, const TurnRecord &turn);
    void onRecorded(const ProgramKey &key, const TurnRecord &turn, const CommitResult &result);
    void onFailure(Program &program, const BackendOutcome &outcome);
    bool mayRetry(const ActiveCall &call, const BackendOutcome &outcome) const;
    void refuseCurrent(Program &program, const Refusal &refusal);
    void refuse(CallHandle handle, const Refusal &refusal, CallNumber next);
    void startNextCall(Program &program);
    void releaseReservations(ActiveCall &call);
    void addOpenRowWrite(Program &program, CommitItem &item);
    void deleteIntent(const Program &program, CallNumber number);
    void loadOpenRow(const Row &row);
    void sendRelease(const ProgramKey &key, const ReplicaId &replica);
    const ReplicaSettings *replicaOf(const ReplicaId &id) const;
    Program *findCurrent(const ProgramKey &key, CallNumber number, CallStage stage);
    void abandonIntent(Program &program);
    void onIntent(const ProgramKey &key, CallNumber number, const CommitResult &result);
    TurnRecord describeTurn(const Program &program, const BackendOutcome &outcome) const;
    void countProgramEnd(const Program &program, bool refused);
    void beginRelease(Program &program);
    void continueRelease(Program &program);
    void deleteOpenRow(Program &program);
    void tickProgram(Program &program);
    void tickCurrent(Program &program);
    void evictIdleHistories();
    const PoolSettings *poolOf(const PoolName &name) const;
    Amount maxCost(const Program &program, const CallRequest &request,
                   const PoolSettings &pool) const;
    Milliseconds slackOf(const Program &program, const CatalogueEntry &entry) const;
    std::int64_t attainedServiceMillis(const Program &program) const;

    CallEngineDependencies m_deps;
    CallSafeguards m_safeguards;
    std::mt19937_64 m_random;
    std::map<ProgramKey, Program> m_programs;
    std::map<CallHandle, ProgramKey> m_runningCalls;
    /** Owned shards whose open program rows have been read. */
    std::set<ShardIndex> m_loadedShards;
    std::set<ShardIndex> m_suspendedShards;
    std::uint64_t m_nextLoad = 1;
    SteadyTime m_nextTick;
    std::map<std::uint64_t, Release> m_releases;
    std::uint64_t m_nextRelease = 1;
    std::uint64_t m_placementCount = 0;
    double m_retryBudget;
    std::map<PoolName, double> m_meanServiceMillis;
    CallStatistics m_statistics;
    std::vector<ProgramOutcome> m_outcomes;
};

} // namespace boragepath
