#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "soak/fleet.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace boragepath::soak {

/** After this time a process that was told to stop is killed (bounds.graceS). */
inline constexpr Seconds StopGrace{8};
/** A VM is in touch if neither it nor the store was disrupted for this long (bounds.contactMs). */
inline constexpr Milliseconds ContactTime{3'000};

/** A time from which and to which something holds; without an end it still does. */
struct TimeSpan
{
    SteadyTime from;
    std::optional<SteadyTime> to;
};

/** Disruptions of one part, of which several may overlap. */
class Disruptions
{
public:
    void begin(SteadyTime now);
    void end(SteadyTime now);
    /** True if the part was disrupted at any time of the span, its ends included. */
    bool overlap(SteadyTime from, SteadyTime to) const;
    bool isActive() const { return m_active > 0; }

private:
    std::vector<TimeSpan> m_spans;
    int m_active = 0;
};

/** The injected faults and the planned work of a run, with their times. */
class FaultHistory
{
public:
    void recordVm(const Endpoint &front, VmEvent event, SteadyTime now);
    /** The store, or only the link of the VM at @p front to it, begins or ceases to be disrupted.
     */
    void recordStore(const std::optional<Endpoint> &front, bool begins, SteadyTime now);
    /** A replica started at a site. */
    void recordReplicaStart(const std::string &replica, std::size_t site);
    /** The replica of a site, or the link to it, begins or ceases to be disrupted. */
    void recordSite(std::size_t site, bool begins, SteadyTime now);
    void recordConfiguration(SteadyTime now) { m_configurations.push_back(now); }
    /** Turns and other streams that all replicas can run at a time. */
    void recordTurnSlots(std::size_t slots) { m_turnSlots = slots; }
    std::size_t turnSlots() const { return m_turnSlots; }
    /** All VMs were killed at the same moment. */
    void recordPowerLoss(SteadyTime now) { m_powerLosses.push_back(now); }

    /** No unplanned disruption of the VM, the store and its link to it. */
    bool isCalm(const Endpoint &front, SteadyTime from, SteadyTime to) const;
    /** No unplanned disruption of a replica and the link to it. */
    bool isReplicaCalm(const std::string &replica, SteadyTime from, SteadyTime to) const;
    /** No unplanned disruption of any part. */
    bool isAllCalm(SteadyTime from, SteadyTime to) const;
    /** Calm, and the VM was neither told to stop nor started. */
    bool isInTouch(const Endpoint &front, SteadyTime from, SteadyTime to) const;
    std::vector<SteadyTime> stopsOf(const Endpoint &front) const;
    std::vector<SteadyTime> reloadsOf(const Endpoint &front) const;
    const std::vector<SteadyTime> &configurations() const { return m_configurations; }
    const std::vector<SteadyTime> &powerLosses() const { return m_powerLosses; }
    /** When the last of the VMs that were killed at @p loss was started again. */
    std::optional<SteadyTime> backAfter(SteadyTime loss) const;

private:
    struct Vm
    {
        Disruptions disruptions;
        std::vector<SteadyTime> stops;
        std::vector<SteadyTime> reloads;
        std::vector<SteadyTime> starts;
        /** When the process was told to stop, if it was. */
        std::optional<SteadyTime> stoppingSince;
        /** Signals that come after SIGKILL change nothing. */
        bool killed = false;
    };

    static void recordKill(Vm &vm, SteadyTime now);

    std::map<Endpoint, Vm> m_vms;
    Disruptions m_store;
    std::map<Endpoint, Disruptions> m_storeLinks;
    std::map<std::size_t, Disruptions> m_sites;
    std::map<std::string, std::size_t> m_siteOfReplica;
    std::vector<SteadyTime> m_configurations;
    std::vector<SteadyTime> m_powerLosses;
    std::size_t m_turnSlots = 0;
};

} // namespace boragepath::soak
