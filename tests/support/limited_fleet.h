#pragma once

#include "control/call_scheduler.h"
#include "tests/support/memory_row_store.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace boragepath {

/** The size and the load of a simulated fleet with one service. */
struct FleetSetup
{
    std::size_t vms = 0;
    std::size_t replicas = 0;
    std::int64_t slots = 0;
    /** From all callers together. */
    double requestsPerSecond = 0;
    /** Requests have prompts and are spread by them, as those to model engines. */
    bool hasPrompts = true;
    std::uint64_t seed = 1;
};

/**
 * VMs that send the requests of random callers to the same replicas, in simulated time. Some of
 * the replicas name a limit in their answers.
 */
class LimitedFleet
{
public:
    explicit LimitedFleet(const FleetSetup &setup);
    ~LimitedFleet();

    /** From now on, the answers of a replica name a limit, or none. */
    void setLimit(std::size_t replica, std::optional<RequestRate> limit);
    void run(Duration duration);
    /**
     * One line for each replica that got more in 4 s than one and a half times its limit and 5
     * requests, from 3 s after it first named it. Only requests of VMs count that had received an
     * answer with the limit half a second before.
     */
    std::vector<std::string> limitViolations() const;

    /** VMs with a lower number than @p first no longer reach the others, but all replicas. */
    void cutAt(std::size_t first);
    /** The VMs see each other again. */
    void heal();
    /** The VM neither sends nor receives datagrams, as if it were paused. */
    void isolate(std::size_t vm) { m_isolated.insert(vm); }

    /** Probability that a datagram is lost. */
    double lossRate = 0;

    /** Questions for permits, and answers, that the VMs have sent. */
    std::size_t notes() const { return m_notes; }
    std::size_t served() const { return m_served; }
    std::size_t refused() const { return m_refused; }
    /** Requests that a replica got in the last @p duration. */
    std::size_t arrivalsWithin(std::size_t replica, Duration duration) const;

private:
    struct Vm;

    void exchangeVmNews();
    void gossip(std::size_t vm);
    void send(std::size_t from, const Endpoint &to, const peers::SendPermitNote &note);
    bool isConnected(std::size_t from, std::size_t to) const;
    bool isLost();

    struct Arrival
    {
        SteadyTime at;
        std::size_t vm = 0;
    };
    struct Replica
    {
        ReplicaEntry entry;
        std::optional<RequestRate> limit;
        SteadyTime limitedSince;
        std::vector<Arrival> arrivals;
        std::int64_t running = 0;
        /** When a VM first received an answer that names the limit. */
        std::map<std::size_t, SteadyTime> toldVmAt;
    };

    void scheduleNextCall();
    void call(std::size_t vm);
    void arrive(std::size_t vm, const AttemptId &attempt, const CallDispatch &dispatch);
    void answer(std::size_t vm, std::size_t replica, const AttemptId &attempt,
                const CallDispatch &dispatch, SteadyTime sentAt);
    std::size_t indexOf(const ReplicaEntry &entry) const;
    /** The most counted requests that a replica got within LimitWindow. */
    std::size_t mostWithinWindow(const Replica &replica) const;

    FleetSetup m_setup;
    ManualClock m_clock;
    ManualTimers m_timers{m_clock};
    MemoryRowStore m_store{m_timers, 1};
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Vm>> m_vms;
    std::vector<Replica> m_replicas;
    std::size_t m_calls = 0;
    std::size_t m_served = 0;
    std::size_t m_refused = 0;
    std::size_t m_notes = 0;
    std::set<std::size_t> m_sideB;
    std::set<std::size_t> m_isolated;
};

} // namespace boragepath
