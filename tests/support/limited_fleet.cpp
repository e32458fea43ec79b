#include "tests/support/limited_fleet.h"

#include "tests/support/fleet_vms.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace boragepath {

namespace {

const PoolName Service("service");
constexpr const char *Host = "host";
constexpr Milliseconds ServiceTime{60};
/** From then on, a limit that a replica has named binds. */
constexpr Milliseconds ContactTime{3'000};
/** A VM that has received an answer with the limit heeds it from then on. */
constexpr Milliseconds ReactionTime{500};
constexpr Milliseconds LimitWindow{4'000};
constexpr Milliseconds DatagramDelay{2};
constexpr Milliseconds GossipInterval{300};
constexpr std::size_t GossipFanout = 4;
constexpr std::size_t LimitsPerDatagram = 8;
constexpr double LimitTolerance = 1.5;
constexpr double LimitSlack = 5;

std::shared_ptr<const RouteTable> routeTable(bool hasPrompts)
{
    auto table = std::make_shared<RouteTable>();
    RoutePolicy route;
    route.host = Host;
    route.prefix = "/";
    route.kind = hasPrompts ? RequestKind::Stream : RequestKind::Idempotent;
    route.hasAffinity = hasPrompts;
    route.timeout = Milliseconds(2'000);
    route.maxReplicas = 2;
    route.services = {{Service, 1}};
    table->version = ConfigurationVersion(1);
    table->routes.push_back(route);
    table->services[Service] = {};
    return table;
}

} // namespace

struct LimitedFleet::Vm
{
    Vm(LimitedFleet &fleet, std::size_t index)
        : health(fleet.m_clock)
        , replicas(fleet.m_clock)
        , directory(fleet.m_clock, fleetVm(index), index)
        , ledger(fleet.m_clock, fleet.m_timers, fleet.m_store, health, index)
        , turns(fleet.m_clock, fleet.m_timers, fleet.m_store, health, 1'000'000, index)
        , grants(fleet.m_clock, fleet.m_timers, ledger, health, "vm")
        , relay(fleet.m_clock, fleet.m_timers, ledger, grants, directory, nullptr)
        , streams(fleet.m_timers, replicas, directory, nullptr)
        , outputs(fleet.m_timers, directory, 100'000, nullptr)
        , limits(fleet.m_clock)
        , permits(
              fleet.m_clock, fleet.m_timers, limits, directory,
              [&fleet, index](const Endpoint &to, const peers::SendPermitNote &note) {
                  fleet.send(index, to, note);
              },
              index)
        , quarantine(fleet.m_clock, fleet.m_timers, directory, nullptr)
        , lease(fleet.m_clock)
        , quotas(fleet.m_clock, fleet.m_timers, directory, nullptr, index)
        , scheduler({fleet.m_clock, fleet.m_timers, replicas, relay, turns, streams, outputs,
                     directory, health, limits, permits, quarantine, lease, quotas, ZoneId("z")})
    {
        scheduler.setRouteTable(routeTable(fleet.m_setup.hasPrompts));
    }

    StoreHealth health;
    ReplicaTable replicas;
    VmDirectory directory;
    ProgramLedger ledger;
    TurnArchive turns;
    BudgetGrants grants;
    LedgerRelay relay;
    StreamOrigins streams;
    StreamOutputs outputs;
    ReplicaLimits limits;
    SendPermits permits;
    RequestQuarantine quarantine;
    ConfigurationLease lease;
    OrganisationQuotas quotas;
    CallScheduler scheduler;
};

LimitedFleet::LimitedFleet(const FleetSetup &setup)
    : m_setup(setup)
    , m_random(setup.seed)
{
    for (std::size_t index = 0; index < setup.replicas; ++index) {
        Replica replica;
        replica.entry.id = ReplicaId(absl::StrCat("i-", index));
        replica.entry.service = Service;
        replica.entry.endpoint = {"10.0.1.1", static_cast<std::uint16_t>(1'000 + index)};
        replica.entry.zone = ZoneId("z");
        replica.entry.slots = setup.slots;
        m_replicas.push_back(replica);
    }
    for (std::size_t index = 0; index < setup.vms; ++index) {
        m_vms.push_back(std::make_unique<Vm>(*this, index));
        for (const Replica &replica : m_replicas) {
            m_vms.back()->replicas.put(replica.entry);
        }
    }
    exchangeVmNews();
    for (std::size_t index = 0; index < setup.vms; ++index) {
        gossip(index);
    }
    scheduleNextCall();
}

LimitedFleet::~LimitedFleet() = default;

void LimitedFleet::setLimit(std::size_t replica, std::optional<RequestRate> limit)
{
    m_replicas[replica].limit = limit;
    m_replicas[replica].limitedSince = m_clock.now();
    m_replicas[replica].toldVmAt.clear();
}

void LimitedFleet::cutAt(std::size_t first)
{
    for (std::size_t index = first; index < m_vms.size(); ++index) {
        m_sideB.insert(index);
    }
}

void LimitedFleet::heal()
{
    m_sideB.clear();
    m_isolated.clear();
    exchangeVmNews();
}

void LimitedFleet::run(Duration duration)
{
    m_timers.run(duration);
}

void LimitedFleet::exchangeVmNews()
{
    boragepath::exchangeVmNews(m_vms);
    for (const auto &vm : m_vms) {
        vm->directory.markRowsRead();
    }
}

/** A VM tells all others that it is live, and a few of them what it knows about limits. */
void LimitedFleet::gossip(std::size_t vm)
{
    const std::vector<peers::ReplicaLimitNews> limits =
        m_vms[vm]->limits.takeForGossip(LimitsPerDatagram);
    peers::VmHeartbeat heartbeat;
    heartbeat.fingerprint = m_vms[vm]->directory.self().fingerprint;
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        if (isConnected(vm, index)) {
            m_vms[index]->directory.receive(std::vector<peers::VmHeartbeat>{heartbeat});
        }
    }
    for (std::size_t count = 0; count < GossipFanout; ++count) {
        const std::size_t to = m_random() % m_vms.size();
        if (isConnected(vm, to) && !isLost()) {
            m_vms[to]->limits.receive(limits);
        }
    }
    m_timers.after(GossipInterval, [this, vm] { gossip(vm); });
}

bool LimitedFleet::isConnected(std::size_t from, std::size_t to) const
{
    return !m_isolated.contains(from) && !m_isolated.contains(to)
        && m_sideB.contains(from) == m_sideB.contains(to);
}

bool LimitedFleet::isLost()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < lossRate;
}

void LimitedFleet::send(std::size_t from, const Endpoint &to, const peers::SendPermitNote &note)
{
    m_notes += 1;
    const auto receiver = static_cast<std::size_t>(to.port - FirstPeersPort);
    if (isLost() || !isConnected(from, receiver)) {
        return;
    }
    m_timers.after(DatagramDelay, [this, from, receiver, note] {
        if (isConnected(from, receiver)) {
            m_vms[receiver]->permits.receive(m_vms[from]->directory.self().peers, note);
        }
    });
}

void LimitedFleet::scheduleNextCall()
{
    std::exponential_distribution<double> pause(m_setup.requestsPerSecond);
    const std::chrono::duration<double> seconds(pause(m_random));
    m_timers.after(std::chrono::duration_cast<Duration>(seconds), [this] {
        scheduleNextCall();
        call(m_random() % m_vms.size());
    });
}

void LimitedFleet::call(std::size_t vm)
{
    IncomingCall incoming;
    incoming.attempt = AttemptId(absl::StrCat("call-", m_calls++));
    incoming.host = Host;
    incoming.path = "/";
    incoming.program = ProgramId(incoming.attempt.value());
    m_vms[vm]->scheduler.open(incoming,
                              [this, vm, attempt = incoming.attempt](const CallDecision &decision) {
                                  if (const auto *dispatch = std::get_if<CallDispatch>(&decision)) {
                                      arrive(vm, attempt, *dispatch);
                                  } else {
                                      m_refused += 1;
                                  }
                              });
}

std::size_t LimitedFleet::indexOf(const ReplicaEntry &entry) const
{
    const auto found =
        std::find_if(m_replicas.begin(), m_replicas.end(),
                     [&](const Replica &replica) { return replica.entry.id == entry.id; });
    return static_cast<std::size_t>(found - m_replicas.begin());
}

void LimitedFleet::arrive(std::size_t vm, const AttemptId &attempt, const CallDispatch &dispatch)
{
    const std::size_t index = indexOf(dispatch.replica);
    const SteadyTime now = m_clock.now();
    m_replicas[index].arrivals.push_back({now, vm});
    m_replicas[index].running += 1;
    m_timers.after(ServiceTime, [this, vm, index, attempt, dispatch, now] {
        answer(vm, index, attempt, dispatch, now);
    });
}

void LimitedFleet::answer(std::size_t vm, std::size_t replica, const AttemptId &attempt,
                          const CallDispatch &dispatch, SteadyTime sentAt)
{
    Replica &answering = m_replicas[replica];
    answering.running -= 1;
    m_served += 1;
    CallScheduler &scheduler = m_vms[vm]->scheduler;
    ReplicaObservation observation;
    observation.load = ReportedLoad{answering.running, 0, m_setup.slots};
    observation.latency = ServiceTime;
    if (answering.limit.has_value()) {
        answering.toldVmAt.try_emplace(vm, m_clock.now());
        scheduler.noteReplicaLimit(dispatch.replica, attempt,
                                   {LimitStatement::Kind::Limited, *answering.limit}, sentAt);
    } else {
        observation.noLimitSince = sentAt;
    }
    scheduler.endReplicaAttempt(dispatch.handle, observation);
    CallCompletion completion;
    completion.answerComplete = true;
    scheduler.close(dispatch.handle, completion, [](bool) {});
}

std::size_t LimitedFleet::arrivalsWithin(std::size_t replica, Duration duration) const
{
    const auto &arrivals = m_replicas[replica].arrivals;
    return static_cast<std::size_t>(
        std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival &arrival) {
            return arrival.at >= m_clock.now() - duration;
        }));
}

std::size_t LimitedFleet::mostWithinWindow(const Replica &replica) const
{
    std::vector<SteadyTime> counted;
    for (const Arrival &arrival : replica.arrivals) {
        const auto told = replica.toldVmAt.find(arrival.vm);
        if (arrival.at >= replica.limitedSince + ContactTime && told != replica.toldVmAt.end()
            && arrival.at >= told->second + ReactionTime) {
            counted.push_back(arrival.at);
        }
    }
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < counted.size(); ++last) {
        while (counted[first] + LimitWindow <= counted[last]) {
            first += 1;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

std::vector<std::string> LimitedFleet::limitViolations() const
{
    std::vector<std::string> violations;
    for (const Replica &replica : m_replicas) {
        if (!replica.limit.has_value()) {
            continue;
        }
        const std::chrono::duration<double> window = LimitWindow;
        const double allowed =
            LimitTolerance * replica.limit->value() * window.count() + LimitSlack;
        const std::size_t most = mostWithinWindow(replica);
        if (static_cast<double>(most) > allowed) {
            violations.push_back(absl::StrCat(replica.entry.id.value(), " got ", most,
                                              " requests in 4 s, allowed ", allowed));
        }
    }
    return violations;
}

} // namespace boragepath
