#include "tests/support/quota_fleet.h"

#include "tests/support/fleet_vms.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>

namespace boragepath {

namespace {

constexpr Milliseconds GossipInterval{300};
constexpr Milliseconds DatagramDelay{2};
/** Mean time from one call of a program to its next. */
constexpr Milliseconds CallInterval{350};
/** A program that has not begun after this time gives up. */
constexpr Seconds StartPatience{10};
/** A program that has begun gives up if a call is not granted within this time. */
constexpr Milliseconds CallPatience{1'000};

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** The timers of one process, which may be frozen or ended. */
class ProcessTimers final : public Timers
{
public:
    explicit ProcessTimers(Timers &timers)
        : m_timers(timers)
    { }

    void after(Duration delay, std::function<void()> task) override
    {
        m_timers.after(delay, [this, task = std::move(task)] { run(task); });
    }
    /** Runs now, or when the process goes on; never if it has ended. */
    void run(const std::function<void()> &task)
    {
        if (hasEnded) {
            return;
        }
        if (isFrozen) {
            m_backlog.push_back(task);
        } else {
            task();
        }
    }
    void thaw()
    {
        isFrozen = false;
        for (const auto &task : std::exchange(m_backlog, {})) {
            task();
        }
    }

    bool isFrozen = false;
    bool hasEnded = false;

private:
    Timers &m_timers;
    std::vector<std::function<void()>> m_backlog;
};

} // namespace

struct QuotaFleet::Vm
{
    Vm(QuotaFleet &fleet, std::size_t index, const VmEntry &entry, std::uint64_t seed)
        : timers(fleet.m_timers)
        , directory(fleet.m_clock, entry, seed)
        , quotas(
              fleet.m_clock, timers, directory,
              [&fleet, index](const Endpoint &to, const peers::QuotaNote &note) {
                  fleet.send(index, to, note);
              },
              seed)
    { }

    bool isUp() const { return !timers.isFrozen && !timers.hasEnded; }

    ProcessTimers timers;
    VmDirectory directory;
    OrganisationQuotas quotas;
};

struct QuotaFleet::Load
{
    OrganisationId name;
    QuotaLoad setup;
    QuotaLoadResult result;
};

/** One program in progress. */
struct QuotaFleet::Run
{
    Load &load;
    ProgramId program;
    std::size_t requests = 0;
    std::size_t granted = 0;
    SteadyTime waitsSince;
    bool wasRefused = false;
};

QuotaFleet::QuotaFleet(std::size_t vms, std::uint64_t seed)
    : m_random(seed)
{
    for (std::size_t index = 0; index < vms; ++index) {
        m_vms.push_back(nullptr);
    }
    for (std::size_t index = 0; index < vms; ++index) {
        m_vms[index] = makeVm(index, 1);
    }
    gossip();
}

QuotaFleet::~QuotaFleet() = default;

std::unique_ptr<QuotaFleet::Vm> QuotaFleet::makeVm(std::size_t index, std::int64_t incarnation)
{
    VmEntry entry = fleetVm(index);
    entry.incarnation = incarnation;
    auto vm = std::make_unique<Vm>(*this, index, entry, m_random());
    for (std::size_t other = 0; other < m_vms.size(); ++other) {
        vm->directory.addFromStore(fleetVm(other));
    }
    vm->directory.markRowsRead();
    return vm;
}

std::size_t QuotaFleet::addOrganisation(const QuotaLoad &load)
{
    auto added = std::make_unique<Load>();
    added->name = OrganisationId(absl::StrCat("organisation-", m_loads.size()));
    added->setup = load;
    m_loads.push_back(std::move(added));
    scheduleProgram(*m_loads.back());
    return m_loads.size() - 1;
}

void QuotaFleet::setQuota(std::size_t organisation, const RequestQuota &quota)
{
    m_loads[organisation]->setup.quota = quota;
}

void QuotaFleet::run(Duration duration)
{
    m_timers.run(duration);
}

void QuotaFleet::cutAt(std::size_t first)
{
    for (std::size_t index = first; index < m_vms.size(); ++index) {
        m_sideB.insert(index);
    }
}

void QuotaFleet::freeze(std::size_t vm)
{
    m_vms[vm]->timers.isFrozen = true;
}

void QuotaFleet::thaw(std::size_t vm)
{
    m_vms[vm]->timers.thaw();
}

void QuotaFleet::restart(std::size_t vm, Duration downTime)
{
    if (m_vms[vm]->timers.hasEnded) {
        return;
    }
    m_vms[vm]->timers.hasEnded = true;
    m_timers.after(downTime, [this, vm] {
        const std::int64_t incarnation = m_vms[vm]->directory.self().incarnation + 1;
        std::unique_ptr<Vm> started = makeVm(vm, incarnation);
        m_ended.push_back(std::exchange(m_vms[vm], std::move(started)));
    });
}

std::size_t QuotaFleet::coordinatorOf(std::size_t organisation) const
{
    const std::string item = absl::StrCat("quota/", m_loads[organisation]->name.value());
    std::map<std::size_t, std::size_t> votes;
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        const std::optional<Endpoint> named = m_vms[index]->directory.coordinatorFor(item);
        votes[named.has_value() ? named->port - FirstPeersPort : index] += 1;
    }
    return std::max_element(
               votes.begin(), votes.end(),
               [](const auto &left, const auto &right) { return left.second < right.second; })
        ->first;
}

QuotaLoadResult &QuotaFleet::result(std::size_t organisation)
{
    return m_loads[organisation]->result;
}

std::vector<QuotaUse> QuotaFleet::use(std::size_t vm) const
{
    return m_vms[vm]->quotas.use();
}

/** Each VM that is up tells all others that it is live, at times that differ by the receiver. */
void QuotaFleet::gossip()
{
    for (std::size_t from = 0; from < m_vms.size(); ++from) {
        peers::VmHeartbeat heartbeat;
        heartbeat.fingerprint = m_vms[from]->directory.self().fingerprint;
        for (std::size_t to = 0; to < m_vms.size(); ++to) {
            if (!m_vms[from]->isUp() || !m_vms[to]->isUp() || !isConnected(from, to) || isLost()) {
                continue;
            }
            VmDirectory &directory = m_vms[to]->directory;
            if (!directory.receive(std::vector<peers::VmHeartbeat>{heartbeat}).empty()) {
                directory.receive(m_vms[from]->directory.ownNews());
            }
        }
    }
    m_timers.after(GossipInterval, [this] { gossip(); });
}

bool QuotaFleet::isConnected(std::size_t from, std::size_t to) const
{
    return m_sideB.contains(from) == m_sideB.contains(to);
}

bool QuotaFleet::isLost()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < lossRate;
}

void QuotaFleet::send(std::size_t from, const Endpoint &to, const peers::QuotaNote &note)
{
    const auto receiver = static_cast<std::size_t>(to.port - FirstPeersPort);
    if (isLost() || !isConnected(from, receiver)) {
        return;
    }
    m_timers.after(DatagramDelay, [this, from, receiver, note] {
        Vm &vm = *m_vms[receiver];
        vm.timers.run(
            [&vm, sender = fleetVm(from).peers, note] { vm.quotas.receive(sender, note); });
    });
}

void QuotaFleet::scheduleProgram(Load &load)
{
    const double meanRequests =
        static_cast<double>(load.setup.fewestRequests + load.setup.mostRequests) / 2;
    std::exponential_distribution<double> pause(load.setup.requestsPerSecond / meanRequests);
    const std::chrono::duration<double> seconds(pause(m_random));
    m_timers.after(std::chrono::duration_cast<Duration>(seconds), [this, &load] {
        scheduleProgram(load);
        beginProgram(load);
    });
}

void QuotaFleet::beginProgram(Load &load)
{
    load.result.offered += 1;
    const ProgramId program(absl::StrCat("program-", m_programs++));
    std::uniform_int_distribution<std::size_t> requests(load.setup.fewestRequests,
                                                        load.setup.mostRequests);
    call(std::make_shared<Run>(Run{load, program, requests(m_random), 0, m_clock.now()}));
}

std::size_t QuotaFleet::vmFor(const Load &load)
{
    const std::size_t count = load.setup.vms == 0 ? m_vms.size() : load.setup.vms;
    std::size_t chosen = m_random() % count;
    for (std::size_t tries = 0; tries < m_vms.size() && !m_vms[chosen]->isUp(); ++tries) {
        chosen = (chosen + 1) % m_vms.size();
    }
    return chosen;
}

void QuotaFleet::call(const std::shared_ptr<Run> &run)
{
    Vm &vm = *m_vms[vmFor(run->load)];
    if (!vm.isUp()) {
        return;
    }
    QuotaClaim claim;
    claim.organisation = run->load.name;
    claim.quota = run->load.setup.quota;
    if (run->load.setup.namesPrograms) {
        claim.program = run->program;
    }
    claim.mayBegin = run->granted == 0;
    claim.maxWait = Milliseconds(run->granted == 0 ? 0 : 250);
    vm.quotas.claim(claim, [this, run](const QuotaDecision &decision) { handle(run, decision); });
}

void QuotaFleet::handle(const std::shared_ptr<Run> &run, const QuotaDecision &decision)
{
    QuotaLoadResult &result = run->load.result;
    const bool isFirst = run->granted == 0;
    if (isFirst && run->wasRefused) {
        result.returned += 1;
        result.begunOnReturn += decision.granted ? 1 : 0;
    }
    if (!decision.granted) {
        (isFirst ? result.startsRefused : result.callsRefused) += 1;
        run->wasRefused = true;
        const Duration patience = isFirst ? Duration(StartPatience) : Duration(CallPatience);
        if (m_clock.now() + decision.delay <= run->waitsSince + patience) {
            m_timers.after(decision.delay, [this, run] { call(run); });
        }
        return;
    }
    result.grants.push_back(m_clock.now());
    result.begun += isFirst ? 1 : 0;
    run->granted += 1;
    if (run->granted == run->requests) {
        result.completed += 1;
        return;
    }
    std::uniform_int_distribution<std::int64_t> pause(0, 2 * CallInterval.count());
    const Milliseconds untilNext(pause(m_random));
    run->waitsSince = m_clock.now() + untilNext;
    m_timers.after(untilNext, [this, run] { call(run); });
}

double QuotaFleet::worstExcess(std::size_t organisation, SteadyTime since) const
{
    const Load &load = *m_loads[organisation];
    const QuotaTolerance tolerance;
    const std::vector<SteadyTime> &grants = load.result.grants;
    std::size_t most = 0;
    auto first = std::lower_bound(grants.begin(), grants.end(), since);
    for (auto last = first; last != grants.end(); ++last) {
        while (*first + tolerance.window <= *last) {
            ++first;
        }
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    const double allowed =
        load.setup.quota.rate.value() * toSeconds(tolerance.window) + load.setup.quota.burst;
    return (static_cast<double>(most) - allowed) / toleratedExcess(load.setup.quota, tolerance);
}

double QuotaFleet::useOfQuota(std::size_t organisation, Duration duration) const
{
    const Load &load = *m_loads[organisation];
    const std::vector<SteadyTime> &grants = load.result.grants;
    const auto first = std::lower_bound(grants.begin(), grants.end(), m_clock.now() - duration);
    return static_cast<double>(grants.end() - first)
        / (toSeconds(duration) * load.setup.quota.rate.value());
}

} // namespace boragepath
