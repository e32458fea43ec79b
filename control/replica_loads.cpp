#include "control/replica_loads.h"

#include <algorithm>

namespace boragepath {

namespace {

/** A replica is left alone after this many failures in a row. */
constexpr int FailuresToBreak = 2;
constexpr Milliseconds FirstBreak{1'000};
constexpr int MaxBreakDoublings = 4;
/** Each statement is passed on this often; enough for hundreds of VMs. */
constexpr int SpreadRounds = 6;

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
    known.spread = 0;
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
    if (known.failures >= FailuresToBreak) {
        const int doublings = std::min(MaxBreakDoublings, known.failures - FailuresToBreak);
        known.brokenUntil = m_clock.now() + FirstBreak * (1 << doublings);
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
    return !load.leaving && m_clock.now() >= load.brokenUntil;
}

std::vector<peers::ReplicaLoad> ReplicaLoads::takeForGossip(std::size_t most)
{
    std::vector<std::pair<int, ReplicaId>> order;
    for (const auto &[id, load] : m_loads) {
        if (load.version > 0 && load.spread < SpreadRounds) {
            order.emplace_back(load.spread, id);
        }
    }
    std::sort(order.begin(), order.end());
    order.resize(std::min(order.size(), most));
    std::vector<peers::ReplicaLoad> result;
    for (const auto &[spread, id] : order) {
        Load &load = m_loads[id];
        load.spread += 1;
        peers::ReplicaLoad statement;
        statement.replica = id.value();
        statement.running = static_cast<std::int32_t>(load.running);
        statement.waiting = static_cast<std::int32_t>(load.waiting);
        statement.version = load.version;
        statement.leaving = load.leaving;
        result.push_back(std::move(statement));
    }
    return result;
}

void ReplicaLoads::setLeaving(const ReplicaId &replica, bool leaving)
{
    Load &load = m_loads[replica];
    load.leaving = leaving;
    load.spread = 0;
}

} // namespace boragepath
