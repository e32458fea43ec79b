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

/** A VM that callers may connect to, as the others know it. */
struct VmEntry
{
    VmId vm;
    Endpoint front;
    Endpoint peers;
    ZoneId zone;
    /** Calendar time of the process's start in milliseconds. */
    std::int64_t incarnation = 0;
    bool leaving = false;
    /** It cannot serve callers yet. */
    bool starting = true;
    /** The store does not answer it; as it said last. */
    bool storeAway = false;
    /** When this incarnation itself was last heard of, directly or through others. */
    SteadyTime lastHeard;
};

/**
 * Which VMs live, as their datagrams tell.
 *
 * Each VM tells a few others, drawn at random, what it knows of all; so the
 * number of datagrams grows with the VMs, not with their square. A VM that has
 * not been heard of for the silence limit isn't handed out to callers. What is
 * believed here costs speed if it is wrong, never truth.
 */
class VmDirectory
{
public:
    VmDirectory(const Clock &clock, VmEntry self, std::uint64_t seed);

    /** Learns of a VM from the store; it counts as silent until it is heard of. */
    void addFromStore(const VmEntry &entry);
    void receive(const peers::VmNews &news);
    void markLeaving() { m_self.leaving = true; }
    /** This VM can serve callers from now on. */
    void markStarted() { m_self.starting = false; }
    /** Whether the store answers this VM. */
    void setStoreUnavailable(bool unavailable) { m_self.storeAway = unavailable; }
    /** Some live VM that the store answers, other than this one. */
    std::optional<Endpoint> randomVmWithStore();

    /** What this VM knows, for one datagram. */
    std::vector<peers::VmNews> news() const;
    /** Whom to tell now. */
    std::vector<Endpoint> gossipTargets();

    /** VMs for callers in @p zone: those of the zone if several live, else all that live. */
    std::vector<Endpoint> addressesFor(const ZoneId &zone) const;
    /** The live VM where work on @p item meets, or nothing if that is this one. */
    std::optional<Endpoint> coordinatorFor(const std::string &item) const;
    /** True if the VM that other VMs reach at @p peers lives. */
    bool isLiveAt(const Endpoint &peers) const;
    /** True if the VM of that name lives. */
    bool isLive(const VmId &vm) const;
    /** The rows of all VMs have been read and learnt. */
    void markRowsRead() { m_rowsRead = true; }
    /**
     * VMs to share limits with, this one included: all that are known, silent ones
     * too, since they may be about to start again; and a guess before the rows are read.
     */
    std::size_t sharingCount() const;
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
