#include "control/replica_loads.h"

#include <algorithm>

namespace boragepath {

namespace {

/** Circuit breaker: consecutive failures after which a replica gets no new calls for a while. */
constexpr int FailureThreshold = 2;
/** The pause doubles with each further failure. */
constexpr Milliseconds InitialBackoff{1'000};
constexpr int MaxBackoffDoublings = 4;
/** Times that each VM gossips a report; enough to reach hundreds of VMs. */
constexpr int MaxGossipSends = 6;

} // namespace

ReplicaLoads::ReplicaLoads(const Clock &clock)
    : m_clock(clock)
{ }

void ReplicaLoads::update(const peers::ReplicaLoad &load)
{
    Load &known = m_loads[ReplicaId(load.replica)];
    if (load.version <= known.version) {
        return;
    }
    known.running = load.running;
    known.waiting = load.waiting;
    known.version = load.version;
    known.leaving = load.leaving;
    known.gossipSends = 0;
}

void ReplicaLoads::updateCounts(const ReplicaId &replica, int running, int waiting)
{
    Load &known = m_loads[replica];
    known.running = running;
    known.waiting = waiting;
}

void ReplicaLoads::adjustRunning(const ReplicaId &replica, int change)
{
    Load &known = m_loads[replica];
    known.running = std::max(0.0, known.running + change);
}

void ReplicaLoads::recordSuccess(const ReplicaId &replica)
{
    m_loads[replica].failures = 0;
}

void ReplicaLoads::recordFailure(const ReplicaId &replica)
{
    Load &known = m_loads[replica];
    known.failures += 1;
    if (known.failures >= FailureThreshold) {
        const int doublings = std::min(MaxBackoffDoublings, known.failures - FailureThreshold);
        known.unavailableUntil = m_clock.now() + InitialBackoff * (1 << doublings);
    }
}

const ReplicaLoads::Load &ReplicaLoads::forReplica(const ReplicaId &replica) const
{
    static const Load none;
    const auto found = m_loads.find(replica);
    return found == m_loads.end() ? none : found->second;
}

bool ReplicaLoads::isAvailable(const ReplicaId &replica) const
{
    const Load &load = forReplica(replica);
    return !load.leaving && m_clock.now() >= load.unavailableUntil;
}

std::vector<peers::ReplicaLoad> ReplicaLoads::takeForGossip(std::size_t maxReports)
{
    std::vector<std::pair<int, ReplicaId>> order;
    for (const auto &[id, load] : m_loads) {
        if (load.version > 0 && load.gossipSends < MaxGossipSends) {
            order.emplace_back(load.gossipSends, id);
        }
    }
    std::sort(order.begin(), order.end());
    order.resize(std::min(order.size(), maxReports));
    std::vector<peers::ReplicaLoad> result;
    for (const auto &[gossipSends, id] : order) {
        Load &load = m_loads[id];
        load.gossipSends += 1;
        peers::ReplicaLoad report;
        report.replica = id.value();
        report.running = static_cast<std::int32_t>(load.running);
        report.waiting = static_cast<std::int32_t>(load.waiting);
        report.version = load.version;
        report.leaving = load.leaving;
        result.push_back(std::move(report));
    }
    return result;
}

void ReplicaLoads::setLeaving(const ReplicaId &replica, bool leaving)
{
    Load &load = m_loads[replica];
    load.leaving = leaving;
    load.gossipSends = 0;
}

} // namespace boragepath
