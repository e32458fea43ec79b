#pragma once

#include "control/admission.h"
#include "control/burn_rate.h"
#include "control/call_engine.h"
#include "control/gossip.h"
#include "control/joiner.h"
#include "control/shard_manager.h"
#include "control/shared_row_poller.h"

#include <functional>
#include <vector>

namespace boragepath {

/** Safeguards that tests switch off, to show what they guard against. */
struct Safeguards
{
    CommitSafeguards commits;
    CallSafeguards calls;
    /** A VM without news of the catalogue stops taking new work. */
    bool refuseWhenStale = true;
};

/** How an edit of the catalogue ended. */
struct CatalogueEditResult
{
    enum class Kind {
        Accepted,
        Conflict, ///< Another edit came first; nothing was changed.
        Unavailable, ///< This VM cannot write at present; nothing was changed.
        Unknown, ///< The VM was fenced while it wrote.
    };
    Kind kind = Kind::Unavailable;
    CatalogueRevision revision;
    std::vector<std::string> changes;
};

/** Which catalogue a VM has in force, as far as this VM has heard. */
struct MemberStatus
{
    MemberRecord member;
    bool heardFrom = false;
    Duration sinceLastHeard{0};
    CatalogueRevision catalogueRevision;
};

/** Gauges of one node, for metrics. */
struct NodeGauges
{
    bool leaseValid = false;
    std::size_t liveMembers = 0;
    std::size_t ownedShards = 0;
    std::size_t programs = 0;
    std::size_t callsUnderWay = 0;
    std::size_t permitsRunning = 0;
    std::size_t permitsWaiting = 0;
    std::size_t suspects = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t tableReads = 0;
    std::uint64_t localGrants = 0;
    std::int64_t cachedBytes = 0;
    CatalogueRevision catalogueRevision;
    CommitStatistics commits;
    CallStatistics calls;
};

/**
 * The control core of one VM.
 *
 * Deterministic: events go in by the on...() functions and tick(), actions
 * come out through Effects. It has no thread, socket, or clock of its own.
 */
class Node
{
public:
    Node(const Settings &settings, const Clock &clock, Effects &effects, std::uint64_t seed,
         Safeguards safeguards = {});

    /** Joins the deployment; the first event. */
    void start();
    /** Does what is due; to be called every few milliseconds. */
    void tick();

    /** Takes a call; an answer or a relay follows through Effects. */
    void submit(CallRequest request);
    void onCallerDisconnected(CallHandle handle);
    /** Ends a program of which the key was checked; false goes to @p done if it could not. */
    void endProgram(CallHandle handle, const ProgramKey &key, const std::string &bearerKey,
                    bool relayed, std::function<void(const Refusal &)> done);
    /** Where callers of a program should connect, the best first. */
    std::vector<Endpoint> addressesFor(const ProgramKey &key) const;

    void onTransaction(std::uint64_t id, const TransactionOutcome &outcome);
    void onRange(std::uint64_t id, const RangeOutcome &outcome);
    void onDatagram(const peers::Envelope &envelope);
    void onBackendOutcome(CallHandle handle, const BackendOutcome &outcome);
    void onReleased(std::uint64_t id, bool acknowledged);
    /** What a backend server says of itself: whether it leaves, and what it holds. */
    void onHeldPrograms(std::uint64_t id, bool answered, bool leaving,
                        const std::vector<ProgramKey> &programs);

    /**
     * Changes the catalogue: all of @p entries or none.
     *
     * @p base is the revision that the operator edited, or 0 for the one in
     * force here.
     */
    void applyCatalogue(std::vector<CatalogueEntry> entries, CatalogueRevision base,
                        std::function<void(const CatalogueEditResult &)> done);
    std::vector<MemberStatus> memberStatus() const;
    /** Reads rows for an operator's question. */
    void readRows(const std::string &prefix, TableReader::Done done);
    /** Settles an unknown outcome: @p ran says what the operator found out. */
    void resolveIntent(const ProgramKey &key, CallNumber number, bool ran,
                       std::function<void(bool)> done);

    /** Begins a planned stop. */
    void leave();
    /** True once a planned stop may end the process. */
    bool left() const { return m_left; }

    bool leaseValid() const { return m_commits.leaseValid(); }
    bool owns(ShardIndex shard) const { return m_shards.owns(shard); }
    bool ready() const;
    FenceNumber fence() const { return m_commits.fence(); }
    const Catalogue &catalogue() const { return m_catalogue; }
    const Members &members() const { return m_members; }
    const CallEngine &engine() const { return m_engine; }
    const Ledger &ledger() const { return m_ledger; }
    const Gossip &gossip() const { return m_gossip; }
    NodeGauges gauges() const;

private:
    void onJoined(const Incarnation &incarnation);
    void takeSharedRows(const std::vector<Row> &rows);
    void takeMember(const MemberRecord &record, RowRevision row);
    void takeEntry(const CatalogueEntry &entry, RowRevision row);
    void onMembersChanged();
    void recoverIfFenced();
    void tickLeaving();
    void tickPermitServers();
    void tickClosing();
    void closeOne(const std::string &key);
    void tickBurn();
    void pollReplicas();
    void flush();
    ProbeState probeState() const;
    std::optional<Refusal> checkReady() const;
    void refuse(CallHandle handle, const Refusal &refusal);
    void confirmRefusal(CallRequest request);
    void submitKnown(CallRequest request);
    void answerPermits(const VmId &from, FenceNumber fence, const peers::Envelope &envelope);
    void passHeld(const ReplicaId &replica, const std::vector<ProgramKey> &programs);
    /** The owner of a program elsewhere, if it can be reached. */
    std::optional<Endpoint> ownerElsewhere(const ProgramKey &key) const;

    const Settings &m_settings;
    const Clock &m_clock;
    Effects &m_effects;
    Safeguards m_safeguards;
    Members m_members;
    Catalogue m_catalogue;
    TableReader m_reader;
    CommitQueue m_commits;
    Outbox m_outbox;
    ReplicaLoads m_loads;
    PermitServers m_permitServers;
    PermitClient m_permits;
    Ledger m_ledger;
    CallEngine m_engine;
    ShardManager m_shards;
    SharedRowPoller m_feed;
    Gossip m_gossip;
    Joiner m_joiner;
    Admission m_admission;
    BurnRateCounter m_burn;
    /** Calls whose key is refused unless the store knows better. */
    std::size_t m_confirming = 0;
    bool m_started = false;
    bool m_leaving = false;
    bool m_leaveWritten = false;
    bool m_goneEnqueued = false;
    bool m_left = false;
    bool m_closing = false;
    SteadyTime m_leaveStarted;
    SteadyTime m_nextClosing;
    SteadyTime m_nextReplicaPoll;
    std::uint64_t m_nextPoll = 1;
    std::map<std::uint64_t, ReplicaId> m_polls;
};

} // namespace boragepath
