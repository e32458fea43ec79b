#include "control/replica_limits.h"

#include <algorithm>
#include <cmath>

namespace boragepath {

namespace {

/** Replicas whose limits are remembered; more than name one at the same time. */
constexpr std::size_t MaxReplicas = 1'000;
/** A change is passed on in this many rounds; reaches hundreds of VMs in spite of lost datagrams.
 */
constexpr int GossipRounds = 4;
/** A limit that no answer has named for longer may have ended. */
constexpr Milliseconds ConfirmationTime{3'000};
/** Stands for no limit in messages. */
constexpr std::int64_t NoLimit = -1;
constexpr double MilliPerUnit = 1'000;
/** Age of what is not known; older than anything that is. */
constexpr Milliseconds UnknownAge{3'600'000};

} // namespace

ReplicaLimits::ReplicaLimits(const Clock &clock)
    : m_clock(clock)
    , m_known(MaxReplicas)
{ }

bool ReplicaLimits::noteAnswer(const ReplicaFingerprint &replica, const LimitStatement &statement,
                               SteadyTime sentAt)
{
    switch (statement.kind) {
    case LimitStatement::Kind::Limited:
        return learn(replica, {statement.limit, m_clock.now()});
    case LimitStatement::Kind::NoLimit:
        return learn(replica, {std::nullopt, sentAt});
    case LimitStatement::Kind::Unreadable:
        break;
    }
    return false;
}

bool ReplicaLimits::learn(const ReplicaFingerprint &replica, const Knowledge &news)
{
    const Knowledge *known = m_known.find(replica);
    if (known == nullptr && !news.limit.has_value()) {
        return false;
    }
    if (known != nullptr && news.statedAt < known->statedAt) {
        return false;
    }
    const bool changed = known == nullptr || known->limit != news.limit;
    Knowledge &entry = m_known.put(replica);
    entry.limit = news.limit;
    entry.statedAt = news.statedAt;
    if (changed) {
        if (entry.roundsLeft == 0) {
            m_toPassOn.push_back(replica);
        }
        entry.roundsLeft = GossipRounds;
    }
    return changed;
}

bool ReplicaLimits::isConfirmed(const ReplicaFingerprint &replica) const
{
    const Knowledge *known = m_known.find(replica);
    return known != nullptr && known->limit.has_value()
        && m_clock.now() < known->statedAt + ConfirmationTime;
}

peers::ReplicaLimitNews ReplicaLimits::newsOf(const ReplicaFingerprint &replica) const
{
    const Knowledge *known = m_known.find(replica);
    peers::ReplicaLimitNews news;
    news.replica = replica.value();
    news.milliRequestsPerSecond = NoLimit;
    news.ageMillis = static_cast<std::int32_t>(UnknownAge.count());
    if (known != nullptr) {
        news.ageMillis = static_cast<std::int32_t>(std::clamp<std::int64_t>(
            toMillis(m_clock.now() - known->statedAt), 0, UnknownAge.count()));
    }
    if (known != nullptr && known->limit.has_value()) {
        news.milliRequestsPerSecond = std::llround(known->limit->value() * MilliPerUnit);
    }
    return news;
}

void ReplicaLimits::receive(const std::vector<peers::ReplicaLimitNews> &news)
{
    for (const peers::ReplicaLimitNews &item : news) {
        Knowledge knowledge;
        knowledge.statedAt = m_clock.now() - Milliseconds(std::max(0, item.ageMillis));
        if (item.milliRequestsPerSecond >= 0) {
            knowledge.limit =
                RequestRate(static_cast<double>(item.milliRequestsPerSecond) / MilliPerUnit);
        }
        learn(ReplicaFingerprint(item.replica), knowledge);
    }
}

std::vector<peers::ReplicaLimitNews> ReplicaLimits::takeForGossip(std::size_t count)
{
    std::vector<peers::ReplicaLimitNews> result;
    for (std::size_t left = std::min(count, m_toPassOn.size()); left > 0; --left) {
        const ReplicaFingerprint replica = m_toPassOn.front();
        m_toPassOn.pop_front();
        if (m_known.find(replica) == nullptr) {
            continue;
        }
        result.push_back(newsOf(replica));
        Knowledge &entry = m_known.put(replica);
        entry.roundsLeft -= 1;
        if (entry.roundsLeft > 0) {
            m_toPassOn.push_back(replica);
        }
    }
    return result;
}

std::optional<RequestRate> ReplicaLimits::limitOf(const ReplicaFingerprint &replica) const
{
    const Knowledge *known = m_known.find(replica);
    return known == nullptr ? std::nullopt : known->limit;
}

} // namespace boragepath
