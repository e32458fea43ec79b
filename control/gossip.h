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

/** What this VM has heard of another one. */
struct PeerView
{
    SteadyTime lastHeard;
    bool heardFrom = false;
    bool leaseless = false;
    CatalogueRevision catalogueRevision;
};

/** What a probe states of its sender. */
struct ProbeState
{
    CatalogueRevision catalogueRevision;
    RowRevision newestRow;
    bool leaseless = false;
    Duration catalogueAge{0};
};

/**
 * Probes other VMs, spreads news, and fences VMs that are gone.
 *
 * Silence makes a VM suspect, nothing more. A suspect is judged by its row in
 * the table service: if the row has not changed for the lease term and a
 * margin, as seen by this VM alone, a transaction conditional on that row
 * fences it. A false suspicion costs a few reads.
 */
class Gossip
{
public:
    Gossip(const Settings &settings, const Clock &clock, CommitQueue &commits, TableReader &reader,
           const Members &members, Outbox &outbox, ReplicaLoads &loads, SharedRowPoller &feed,
           std::uint64_t seed);

    void tick(const ProbeState &state);
    /** Takes a probe or its answer; answers a probe. */
    void onProbe(const VmId &from, const peers::Probe &probe, const ProbeState &state);
    /** Probes every member at once, to spread a change of the catalogue. */
    void pushToAll(const ProbeState &state);
    void reset();

    const std::map<VmId, PeerView> &views() const { return m_views; }
    std::size_t suspectCount() const { return m_suspects.size(); }
    std::uint64_t fencedCount() const { return m_fenced; }

private:
    struct Suspect
    {
        FenceNumber fence;
        SteadyTime since;
        /** The row's revision, and since when it has not changed as far as this VM saw. */
        RowRevision row;
        bool seen = false;
        SteadyTime unchangedSince;
        SteadyTime nextRead;
        bool reading = false;
        bool fencing = false;
    };
    struct Outstanding
    {
        SteadyTime sentAt;
        int misses = 0;
    };

    peers::Probe makeProbe(const ProbeState &state, bool answer);
    void sendProbe(const VmId &to, const ProbeState &state);
    void probeNext(const ProbeState &state);
    void checkOutstanding(const ProbeState &state);
    void suspect(const VmId &vm, FenceNumber fence);
    bool watches(const VmId &vm, const Suspect &suspect) const;
    void judge(const VmId &vm, Suspect &suspect);
    void onSuspectRow(const VmId &vm, SteadyTime readAt, const RangeOutcome &outcome);
    void fence(const VmId &vm, const Suspect &suspect);

    const Settings &m_settings;
    const Clock &m_clock;
    CommitQueue &m_commits;
    TableReader &m_reader;
    const Members &m_members;
    Outbox &m_outbox;
    ReplicaLoads &m_loads;
    SharedRowPoller &m_feed;
    std::mt19937_64 m_random;
    std::map<VmId, PeerView> m_views;
    std::map<VmId, Outstanding> m_outstanding;
    std::map<VmId, Suspect> m_suspects;
    SteadyTime m_nextProbe;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fenced = 0;
    std::uint64_t m_generation = 0;
};

} // namespace boragepath
