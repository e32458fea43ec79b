#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/settings.h"
#include "peers/gen/messages_types.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace boragepath {

/** What one VM knows about a VM that callers may connect to. */
struct VmEntry
{
    VmId vm;
    /** Address for callers. */
    Endpoint front;
    /** Address for the datagrams of other VMs. */
    Endpoint peers;
    ZoneId zone;
    /** Wall-clock time of the process's start in milliseconds; grows with each restart. */
    std::int64_t incarnation = 0;
    /** It is about to stop and takes no new callers. */
    bool leaving = false;
    /** It has not finished starting and cannot serve callers yet. */
    bool starting = true;
    /** The store does not answer this VM, by its own last report. */
    bool storeAway = false;
    /** When this incarnation itself was last heard of, directly or through other VMs. */
    SteadyTime lastHeard;
    /** Names this incarnation in heartbeats; set by the directory. */
    std::int64_t fingerprint = 0;
};

/** Name of an incarnation of a VM. */
std::string incarnationName(const VmEntry &entry);

/** The content of one datagram of gossip. */
struct VmGossipContent
{
    /** The sender itself, and a few other live VMs in turn. */
    std::vector<peers::VmNews> news;
    /** All other live VMs. */
    std::vector<peers::VmHeartbeat> heartbeats;
};

/** VMs to send gossip to. */
struct GossipTargets
{
    std::vector<Endpoint> live;
    /** Not heard of lately; may have restarted or be reachable from this VM alone. */
    std::vector<Endpoint> silent;
};

/**
 * Membership list and failure detector of the VMs, kept by gossip.
 *
 * Each VM sends what it knows about all VMs to a few others, chosen at random, so
 * the number of datagrams grows linearly with the number of VMs and not with its
 * square. Most VMs are reported by a heartbeat of a few bytes that names them by a
 * fingerprint; a VM that cannot match a fingerprint asks the sender for the full news.
 * The address of a VM that has not been heard of within the liveness timeout
 * is not given to callers. Wrong information here costs time, but never correctness.
 */
class VmDirectory
{
public:
    VmDirectory(const Clock &clock, VmEntry self, std::uint64_t seed);

    /** Adds a VM that has a row in the store; it does not count as live until it is heard of. */
    void addFromStore(const VmEntry &entry);
    /** Merges what another VM reported about a VM. */
    void receive(const peers::VmNews &news);
    /** This VM is about to stop; the next messages report it. */
    void markLeaving() { m_self.leaving = true; }
    /** This VM can serve callers from now on. */
    void markStarted() { m_self.starting = false; }
    /** Sets whether this VM reports that the store does not answer it. */
    void setStoreUnavailable(bool unavailable) { m_self.storeAway = unavailable; }
    /** A random other live VM; nothing if there is none. */
    std::optional<Endpoint> randomLiveVm();
    /** A random other live VM that the store answers; nothing if there is none. */
    std::optional<Endpoint> randomVmWithStore();

    /**
     * Merges the heartbeats that another VM sent.
     *
     * @return the fingerprints that match no known VM and that this VM has not asked for
     *     lately; the sender knows these VMs.
     */
    std::vector<std::int64_t> receive(const std::vector<peers::VmHeartbeat> &heartbeats);

    /** What this VM knows about itself and all live VMs. */
    VmGossipContent gossip();
    /** The news of this VM itself. */
    peers::VmNews ownNews() const;
    /** The news of the live VMs that have one of these fingerprints. */
    std::vector<peers::VmNews> newsOf(const std::vector<std::int64_t> &fingerprints) const;
    /**
     * The VMs that get the next round of gossip, chosen at random in the own zone and in
     * the others. Also forgets VMs that have been silent for too long.
     */
    GossipTargets gossipTargets();

    /**
     * Addresses for callers in @p zone: a random choice of the live VMs of the zone if there
     * are several, else of all zones.
     */
    std::vector<Endpoint> addressesFor(const ZoneId &zone);
    /**
     * The live VM that coordinates the work on @p item, by rendezvous hashing; nothing if it
     * is this VM.
     */
    std::optional<Endpoint> coordinatorFor(const std::string &item) const;
    /**
     * The other live VMs, at most @p count, in the order in which rendezvous hashing ranks them
     * for @p item. VMs that agree on who is live get the same order, but for themselves.
     */
    std::vector<Endpoint> rankedFor(const std::string &item, std::size_t count) const;
    /** Names of the live incarnations that are not about to stop, this one included. */
    std::vector<std::string> liveIncarnations() const;
    /** Names of the other live incarnations that are not about to stop, of one zone or the rest. */
    std::vector<std::string> otherIncarnations(bool ofOwnZone) const;
    /** Address for datagrams of an incarnation of another VM; nothing if it is not live. */
    std::optional<Endpoint> findLive(const std::string &incarnation) const;
    /** Address of a live, later incarnation of the same VM; nothing if none is known. */
    std::optional<Endpoint> findSuccessor(const std::string &incarnation) const;
    /** True if a later incarnation of the same VM is known. */
    bool isReplaced(const std::string &incarnation) const;
    /** Number of live VMs, this one included. */
    std::size_t liveCount() const;
    /** Live VMs, this one included, as a part of those among which limits are divided. */
    double shareInSight() const;
    /** Name of the incarnation of another VM at this address for datagrams; empty if unknown. */
    std::string incarnationAt(const Endpoint &peers) const;
    /** True if the VM whose address for datagrams is @p peers is live. */
    bool isLiveAt(const Endpoint &peers) const;
    /** True if the VM @p vm is live. */
    bool isLive(const VmId &vm) const;
    /** The rows of all VMs have been read from the store and added. */
    void markRowsRead() { m_rowsRead = true; }
    /**
     * Number of VMs among which limits are divided, this one included. Counts silent VMs
     * too, because they may be about to restart, and is at least an assumed number until
     * the rows have been read.
     */
    std::size_t vmCountForLimits() const;
    const VmEntry &self() const { return m_self; }

private:
    bool isLive(const VmEntry &entry) const;
    peers::VmNews newsOf(const VmEntry &entry) const;
    /** Replaces what is known about a VM. */
    void replace(VmEntry entry);

    const Clock &m_clock;
    VmEntry m_self;
    std::mt19937_64 m_random;
    std::map<VmId, VmEntry> m_others;
    /** Points into m_others, by the fingerprints of the incarnations. */
    std::unordered_map<std::int64_t, VmEntry *> m_byFingerprint;
    /** When this VM last asked for the news behind a fingerprint. */
    std::unordered_map<std::int64_t, SteadyTime> m_askedAt;
    /** The last VM that was described in full; the next datagram goes on after it. */
    VmId m_lastDescribed;
    bool m_rowsRead = false;
};

} // namespace boragepath
