#pragma once

#include "control/commit_queue.h"
#include "control/members.h"
#include "control/outbox.h"
#include "control/replica_loads.h"
#include "control/shared_row_poller.h"
#include "control/table_reader.h"
#include "core/settings.h"

#include <map>
#include <random>

namespace boragepath {

/** The latest state that another VM reported in a probe. */
struct PeerView
{
    SteadyTime lastHeard;
    /** False until the first probe of that VM arrives. */
    bool heardFrom = false;
    bool leaseExpired = false;
    CatalogueRevision catalogueRevision;
};

/** State of the sending VM that a probe carries. */
struct ProbeState
{
    CatalogueRevision catalogueRevision;
    /** Revision of the newest shared row that the sender has seen. */
    RowRevision newestRow;
    bool leaseExpired = false;
    /** Time since the sender's shared rows were last known to be up to date. */
    Duration catalogueAge{0};
};

/**
 * Failure detector: probes other VMs, exchanges state with them, and fences VMs that have failed.
 *
 * Unanswered probes, a report by another VM, or the VM's own report of an expired lease only make
 * it a suspect. Whether it has failed is decided by its row in the table service: if this VM itself
 * sees the row unchanged for the lease term plus a margin, it fences the suspect with a transaction
 * that is conditional on that row.
 * A false suspicion therefore costs only a few reads.
 */
class Gossip
{
public:
    Gossip(const Settings &settings, const Clock &clock, CommitQueue &commits, TableReader &reader,
           const Members &members, Outbox &outbox, ReplicaLoads &loads, SharedRowPoller &sharedRows,
           std::uint64_t seed);

    void tick(const ProbeState &state);
    /** Handles a probe or the answer to one. A probe is answered. */
    void onProbe(const VmId &from, const peers::Probe &probe, const ProbeState &state);
    /** Probes all other members at once, to spread a change quickly. */
    void probeAllMembers(const ProbeState &state);
    /** Forgets suspects and pending probes when this incarnation has ended. */
    void reset();

    const std::map<VmId, PeerView> &views() const { return m_views; }
    std::size_t suspectCount() const { return m_suspects.size(); }
    /** VMs that this VM has fenced. */
    std::uint64_t fencedCount() const { return m_fencedCount; }

private:
    struct Suspect
    {
        /** The incarnation that is suspected. */
        FenceNumber fence;
        SteadyTime since;
        /** Last seen revision of the VM's row. Valid if @c seen is true. */
        RowRevision row;
        bool rowSeen = false;
        /** When this VM first saw the row at that revision. */
        SteadyTime unchangedSince;
        SteadyTime nextRead;
        bool reading = false;
        bool fencing = false;
    };
    /** A probe that has not been answered yet. */
    struct PendingProbe
    {
        SteadyTime sentAt;
        int missedAnswers = 0;
    };

    peers::Probe makeProbe(const ProbeState &state, bool answer);
    void sendProbe(const VmId &to, const ProbeState &state);
    void probeNext(const ProbeState &state);
    /** Sends overdue probes again. A VM that misses too many becomes a suspect. */
    void checkPendingProbes(const ProbeState &state);
    /** Adds a suspect, unless that incarnation is known to have ended. */
    void suspect(const VmId &vm, FenceNumber fence);
    /** True if this VM is one of those that read the suspect's row. */
    bool isWatcher(const VmId &vm, const Suspect &suspect) const;
    /** Reads the suspect's row if a read is due. */
    void checkSuspectRow(const VmId &vm, Suspect &suspect);
    void onSuspectRow(const VmId &vm, SteadyTime readAt, const RangeOutcome &outcome);
    /** Writes that the suspect is gone, on condition that its rows are still the same. */
    void fence(const VmId &vm, const Suspect &suspect);

    const Settings &m_settings;
    const Clock &m_clock;
    CommitQueue &m_commits;
    TableReader &m_reader;
    const Members &m_members;
    Outbox &m_outbox;
    ReplicaLoads &m_loads;
    SharedRowPoller &m_sharedRows;
    std::mt19937_64 m_random;
    std::map<VmId, PeerView> m_views;
    std::map<VmId, PendingProbe> m_pendingProbes;
    std::map<VmId, Suspect> m_suspects;
    SteadyTime m_nextProbe;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fencedCount = 0;
    /** Grows with each reset(), so that answers to earlier reads are ignored. */
    std::uint64_t m_generation = 0;
};

} // namespace boragepath
