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

/** Safeguards that tests switch off, to show what they guard against. */
struct CallSafeguards
{
    /** Non-idempotent calls wait for a durable intent. */
    bool intents = true;
    /** The final answer waits until the turn is durable. */
    bool recordBeforeAnswer = true;
    /** Ended programs are released at every replica that they touched. */
    bool release = true;
    /** Calls reserve their largest cost from a durable grant. */
    bool reserve = true;
    /** Calls run in the order of their numbers. */
    bool order = true;
};

/** Counters for metrics and reports. */
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

/** A program's end, for the burn report. */
struct ProgramOutcome
{
    EntryName entry;
    Duration latency{0};
    bool refused = false;
};

/** What the call engine works with; all outlive it. */
struct CallEngineParts
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
 * Takes each call of the programs that this VM owns from arrival to answer.
 *
 * Order, history, at most once and the verdicts are decided here. A call
 * passes the stages of CallStage; every way out is either finish() with a
 * recorded turn or refuse() with a verdict.
 */
class CallEngine
{
public:
    CallEngine(CallEngineParts parts, std::uint64_t seed, CallSafeguards safeguards);

    /** Takes a call of a shard that this VM owns, after admission. */
    void submit(CallRequest request);
    void onBackendOutcome(CallHandle handle, const BackendOutcome &outcome);
    void onReleased(std::uint64_t id, bool acknowledged);
    /** The caller of a call is gone; a call that has not been sent is dropped. */
    void onCallerDisconnected(CallHandle handle);
    /** Ends a program; @p done is told once the end is durable, or that it failed. */
    void endProgram(const ProgramKey &key, std::function<void(bool)> done);
    void tick();

    /** Reads which programs are under way in shards that were just taken over. */
    void loadOpenPrograms(const std::vector<ShardIndex> &shards);
    /** True if no call of the shard is under way. */
    bool shardIdle(ShardIndex shard) const;
    /** Starts nothing more on its own in a shard that is being handed over. */
    void suspendShard(ShardIndex shard) { m_frozen.insert(shard); }
    /** Takes suspendShard() back, after a hand-over that did not come about. */
    void resumeShard(ShardIndex shard) { m_frozen.erase(shard); }
    /** Forgets the programs of a shard that belongs to another VM now. */
    void dropShard(ShardIndex shard);
    /** Ends every call as this incarnation can record nothing any more. */
    void reset();
    /** Answers whether each program is still under way, and releases it if not. */
    void reconcileHeldPrograms(const ReplicaId &replica, const std::vector<ProgramKey> &programs);

    std::size_t callsUnderWay() const;
    std::size_t programCount() const { return m_programs.size(); }
    std::int64_t programsUnderWay(const EntryName &entry) const;
    std::int64_t cachedBytes() const;
    const CallStatistics &statistics() const { return m_statistics; }
    const std::map<ProgramKey, Program> &programs() const { return m_programs; }
    /** Ends of programs since the last call. */
    std::vector<ProgramOutcome> takeOutcomes();

private:
    struct Release
    {
        ProgramKey program;
        ReplicaId replica;
    };

    Program &programOf(const ProgramKey &key);
    Program *findProgram(const ProgramKey &key);
    void load(Program &program);
    void onLoaded(const ProgramKey &key, std::uint64_t loadId, const RangeOutcome &outcome);
    void adoptIntent(Program &program, const IntentRecord &intent);
    void arrange(Program &program, CallRequest request);
    void replay(Program &program, const CallRequest &request);
    bool admit(Program &program, const CallRequest &request);
    void start(Program &program, CallRequest request);
    void reserve(Program &program);
    void choose(Program &program);
    double meanServiceMillis(const PoolName &pool) const;
    std::vector<ReplicaView> viewsFor(const ActiveCall &call, const PoolSettings &pool) const;
    void askPermit(Program &program, const PoolSettings &pool);
    void onPermit(const ProgramKey &key, CallNumber number, PermitId permit,
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
    void advance(Program &program);
    void giveUpReservations(ActiveCall &call);
    void writeOpen(Program &program, CommitItem &item);
    void deleteIntent(const Program &program, CallNumber number);
    void noteOpenRow(const Row &row);
    void sendRelease(const ProgramKey &key, const ReplicaId &replica);
    const ReplicaSettings *replicaOf(const ReplicaId &id) const;
    Program *findCurrent(const ProgramKey &key, CallNumber number, CallStage stage);
    void abandonIntent(Program &program);
    void onIntent(const ProgramKey &key, CallNumber number, const CommitResult &result);
    TurnRecord describeTurn(const Program &program, const BackendOutcome &outcome) const;
    void noteEnd(const Program &program, bool refused);
    void beginRelease(Program &program);
    void driveRelease(Program &program);
    void dropOpenRow(Program &program);
    void tickProgram(Program &program);
    void tickCurrent(Program &program);
    void limitCache();
    const PoolSettings *poolOf(const PoolName &name) const;
    Amount largestCost(const Program &program, const CallRequest &request,
                       const PoolSettings &pool) const;
    Milliseconds slackOf(const Program &program, const CatalogueEntry &entry) const;
    std::int64_t attainedOf(const Program &program) const;

    CallEngineParts m_parts;
    CallSafeguards m_safeguards;
    std::mt19937_64 m_random;
    std::map<ProgramKey, Program> m_programs;
    std::map<CallHandle, ProgramKey> m_running;
    /** Owned shards whose open rows have been read. */
    std::set<ShardIndex> m_scanned;
    std::set<ShardIndex> m_frozen;
    std::uint64_t m_nextLoad = 1;
    SteadyTime m_nextScan;
    std::map<std::uint64_t, Release> m_releases;
    std::uint64_t m_nextRelease = 1;
    std::uint64_t m_placements = 0;
    double m_retryBudget;
    std::map<PoolName, double> m_meanServiceMillis;
    CallStatistics m_statistics;
    std::vector<ProgramOutcome> m_outcomes;
};

} // namespace boragepath
