#pragma once

#include "control/quotas/organisation_quotas.h"
#include "tests/support/manual_timers.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace boragepath {

/** Programs of one organisation, by the requests that they need together. */
struct QuotaLoad
{
    RequestQuota quota;
    /** Requests per second that programs ask for, repetitions not counted. */
    double requestsPerSecond = 0;
    std::size_t fewestRequests = 6;
    std::size_t mostRequests = 14;
    /** The first this many VMs get all calls; 0 for all VMs. */
    std::size_t vms = 0;
    /** False if the claims name no programs, so that each call is decided by itself. */
    bool namesPrograms = true;
};

/** What became of the programs of one organisation. */
struct QuotaLoadResult
{
    std::size_t offered = 0;
    std::size_t begun = 0;
    std::size_t completed = 0;
    /** Calls of programs that had begun, refused once or more often. */
    std::size_t callsRefused = 0;
    std::size_t startsRefused = 0;
    /** Programs that were refused, came back after the time that they were told, and began then. */
    std::size_t returned = 0;
    std::size_t begunOnReturn = 0;
    std::vector<SteadyTime> grants;
};

/** VMs that share the quotas of organisations, in simulated time. */
class QuotaFleet
{
public:
    QuotaFleet(std::size_t vms, std::uint64_t seed);
    ~QuotaFleet();

    /** Adds an organisation; returns its number. */
    std::size_t addOrganisation(const QuotaLoad &load);
    /** All VMs use another quota from now on. */
    void setQuota(std::size_t organisation, const RequestQuota &quota);
    void run(Duration duration);

    /** VMs from @p first on and the others don't reach each other. */
    void cutAt(std::size_t first);
    void heal() { m_sideB.clear(); }
    /** The process stops; datagrams and timers wait, and calls go elsewhere. */
    void freeze(std::size_t vm);
    void thaw(std::size_t vm);
    /** The process ends and a new one starts after @p downTime. */
    void restart(std::size_t vm, Duration downTime);
    /** The VM that most VMs take for the coordinator. */
    std::size_t coordinatorOf(std::size_t organisation) const;
    /** Probability that a datagram is lost. */
    double lossRate = 0;

    std::size_t vmCount() const { return m_vms.size(); }
    QuotaLoadResult &result(std::size_t organisation);
    std::vector<QuotaUse> use(std::size_t vm) const;
    /**
     * The most requests in a window beyond rate x window + burst, as a part of the tolerated
     * excess, from grants after @p since; above 1 the bound is broken.
     */
    double worstExcess(std::size_t organisation, SteadyTime since) const;
    /** Requests per second granted in the last @p duration, as a part of the rate of the quota. */
    double useOfQuota(std::size_t organisation, Duration duration) const;
    SteadyTime now() const { return m_clock.now(); }

private:
    struct Vm;
    struct Load;
    struct Run;

    std::unique_ptr<Vm> makeVm(std::size_t index, std::int64_t incarnation);
    void gossip();
    void send(std::size_t from, const Endpoint &to, const peers::QuotaNote &note);
    bool isConnected(std::size_t from, std::size_t to) const;
    bool isLost();
    void scheduleProgram(Load &load);
    void beginProgram(Load &load);
    void call(const std::shared_ptr<Run> &run);
    void handle(const std::shared_ptr<Run> &run, const QuotaDecision &decision);
    std::size_t vmFor(const Load &load);

    ManualClock m_clock;
    ManualTimers m_timers{m_clock};
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Vm>> m_vms;
    /** Processes that have ended; their timers still refer to them. */
    std::vector<std::unique_ptr<Vm>> m_ended;
    std::vector<std::unique_ptr<Load>> m_loads;
    std::set<std::size_t> m_sideB;
    std::size_t m_programs = 0;
};

} // namespace boragepath
