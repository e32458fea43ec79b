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

/** Safeguards that a test can switch off to show the failure that each prevents. */
struct Safeguards
{
    CommitSafeguards commits;
    CallSafeguards calls;
    /** A VM refuses new work while its copy of the catalogue may be outdated. */
    bool refuseWhenStale = true;
};

/** Result of a catalogue edit. */
struct CatalogueEditResult
{
    enum class Kind {
        Accepted,
        Conflict, ///< Another edit was committed first; nothing was changed.
        Unavailable, ///< This VM is not ready to write; nothing was changed.
        Unknown, ///< The VM was fenced while it wrote; the edit may have been committed.
    };
    Kind kind = Kind::Unavailable;
    /** Revision in force after the edit, as far as this VM knows; 0 if Unavailable. */
    CatalogueRevision revision;
    /** A description of each change. */
    std::vector<std::string> changes;
};

/** A member and the state that it last reported to this VM. */
struct MemberStatus
{
    MemberRecord member;
    /** False if no probe of the member has arrived yet. */
    bool heardFrom = false;
    /** Time since its last probe. */
    Duration sinceLastHeard{0};
    CatalogueRevision catalogueRevision;
};

/** Current values of one node for the metrics. */
struct NodeGauges
{
    bool leaseValid = false;
    std::size_t liveMembers = 0;
    std::size_t ownedShards = 0;
    std::size_t programs = 0;
    std::size_t callsUnderWay = 0;
    /** Permits of the replicas whose permit server is on this VM. */
    std::size_t permitsRunning = 0;
    std::size_t permitsWaiting = 0;
    std::size_t suspects = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t tableReads = 0;
    /** Permits granted locally because the permit server did not answer. */
    std::uint64_t localGrants = 0;
    /** Size of the cached histories of programs. */
    std::int64_t cachedBytes = 0;
    CatalogueRevision catalogueRevision;
    CommitStatistics commits;
    CallStatistics calls;
};

/**
 * The control core of one VM.
 *
 * It is deterministic and has no thread, socket or clock of its own. Events come in through the
 * on...() functions and tick(); I/O goes out through Effects.
 */
class Node
{
public:
    Node(const Settings &settings, const Clock &clock, Effects &effects, std::uint64_t seed,
         Safeguards safeguards = {});

    /** Begins to join the deployment. Must be called before all other events. */
    void start();
    /** Runs timers and sends what is due. To be called every few milliseconds. */
    void tick();

    /** Accepts a call. Effects::answer() or Effects::relay() follows. */
    void submit(CallRequest request);
    void onCallerDisconnected(CallHandle handle);
    /**
     * Ends a program if @p bearerKey opens its entry. @p done gets the verdict Ran on success and a
     * refusal otherwise; it is not called if the request is relayed to the owner.
     */
    void endProgram(CallHandle handle, const ProgramKey &key, const std::string &bearerKey,
                    bool relayed, std::function<void(const Refusal &)> done);
    /** Up to four addresses where callers of a program should connect, the best one first. */
    std::vector<Endpoint> addressesFor(const ProgramKey &key) const;

    void onTransaction(std::uint64_t id, const TransactionOutcome &outcome);
    void onRange(std::uint64_t id, const RangeOutcome &outcome);
    void onDatagram(const peers::Envelope &envelope);
    void onBackendOutcome(CallHandle handle, const BackendOutcome &outcome);
    void onReleased(std::uint64_t id, bool acknowledged);
    /** The status of a backend server: whether it is leaving and which programs it holds. */
    void onHeldPrograms(std::uint64_t id, bool answered, bool leaving,
                        const std::vector<ProgramKey> &programs);

    /**
     * Changes the catalogue atomically: all of @p entries or none.
     *
     * @p base is the revision that the operator edited, or 0 for the revision in force here. If
     * another revision is in force, the edit ends in a conflict.
     */
    void applyCatalogue(std::vector<CatalogueEntry> entries, CatalogueRevision base,
                        std::function<void(const CatalogueEditResult &)> done);
    std::vector<MemberStatus> memberStatus() const;
    /** Reads rows for a request of an operator, without a retry. */
    void readRows(const std::string &prefix, TableReader::Callback done);
    /**
     * Records whether a call with an unknown outcome ran, as the operator found out. @p done gets
     * false if the call has no unknown outcome or the record was not committed.
     */
    void resolveIntent(const ProgramKey &key, CallNumber number, bool ran,
                       std::function<void(bool)> done);

    /** Begins a planned stop: hands shards over and finishes the calls in progress. */
    void leave();
    /** True once the planned stop has completed and the process may exit. */
    bool left() const { return m_left; }

    bool leaseValid() const { return m_commits.leaseValid(); }
    bool owns(ShardIndex shard) const { return m_shards.owns(shard); }
    /** True if the lease is valid and the shared rows have been read. */
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
    void applySharedRows(const std::vector<Row> &rows);
    void applyMemberRow(const MemberRecord &record, RowRevision row);
    void applyEntryRow(const CatalogueEntry &entry, RowRevision row);
    /** Adjusts this VM's share of the store and its set of permit servers. */
    void onMembersChanged();
    /** Discards the state of an incarnation that was fenced, and joins again. */
    void recoverIfFenced();
    void tickPlannedStop();
    void tickPermitServers();
    /** Starts to close the grants of incarnations that have ended. */
    void tickGrantClosing();
    /** Closes the grants of the incarnation that the row @p key names, then deletes the row. */
    void closeGrantsOf(const std::string &key);
    /** Counts the programs that ended, for the burn rate report. */
    void tickBurnCounter();
    /** Asks the replicas whose permit server is on this VM for their status. */
    void pollReplicas();
    /** Sends the messages and commits that the last event produced. */
    void flush();
    ProbeState probeState() const;
    /** A refusal if this VM must not accept new work at present. */
    std::optional<Refusal> checkReady() const;
    void refuse(CallHandle handle, const Refusal &refusal);
    void recheckUnknownKey(CallRequest request);
    void submitAuthorized(CallRequest request);
    /** Handles the permit requests and releases of another VM. */
    void answerPermitMessages(const VmId &from, FenceNumber fence, const peers::Envelope &envelope);
    /** Passes programs found in a replica's memory on to their owners. */
    void forwardHeldPrograms(const ReplicaId &replica, const std::vector<ProgramKey> &programs);
    /** Where callers reach the program's owner, if that is another VM and not gone. */
    std::optional<Endpoint> findRemoteOwner(const ProgramKey &key) const;

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
    SharedRowPoller m_sharedRows;
    Gossip m_gossip;
    Joiner m_joiner;
    Admission m_admission;
    BurnRateCounter m_burnCounter;
    /** Calls with an unknown key that wait for the catalogue to be read again. */
    std::size_t m_keyRechecks = 0;
    bool m_started = false;
    bool m_leaving = false;
    bool m_leavingRowEnqueued = false;
    bool m_goneRowEnqueued = false;
    bool m_left = false;
    bool m_closingGrants = false;
    SteadyTime m_leaveStarted;
    SteadyTime m_nextGrantClosing;
    SteadyTime m_nextReplicaPoll;
    std::uint64_t m_nextReplicaPollId = 1;
    std::map<std::uint64_t, ReplicaId> m_replicaPolls;
};

} // namespace boragepath
