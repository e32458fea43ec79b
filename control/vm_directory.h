#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/settings.h"
#include "peers/gen/messages_types.h"

#include <map>
#include <optional>
#include <random>
#include <string>
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
};

/**
 * Membership list and failure detector of the VMs, kept by gossip.
 *
 * Each VM sends what it knows about all VMs to a few others, chosen at random, so
 * the number of datagrams grows linearly with the number of VMs and not with its
 * square. The address of a VM that has not been heard of within the liveness timeout
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
    /** A random other live VM that the store answers; nothing if there is none. */
    std::optional<Endpoint> randomVmWithStore();

    /** What this VM knows about itself and all live VMs; the content of one datagram. */
    std::vector<peers::VmNews> news() const;
    /**
     * Addresses of the VMs that get the next round of gossip: some live ones and one
     * that is silent. Also forgets VMs that have been silent for too long.
     */
    std::vector<Endpoint> gossipTargets();

    /** Addresses for callers in @p zone: live VMs of the zone if there are several, else of all
     * zones. */
    std::vector<Endpoint> addressesFor(const ZoneId &zone) const;
    /**
     * The live VM that coordinates the work on @p item, by rendezvous hashing; nothing if it
     * is this VM.
     */
    std::optional<Endpoint> coordinatorFor(const std::string &item) const;
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

    const Clock &m_clock;
    VmEntry m_self;
    std::mt19937_64 m_random;
    std::map<VmId, VmEntry> m_others;
    bool m_rowsRead = false;
};

} // namespace boragepath
