#include "control/replica_limits.h"

#include "core/hash.h"

#include <absl/strings/str_cat.h>

namespace boragepath {

namespace {

/** Replicas whose limits are remembered; more than name one at the same time. */
constexpr std::size_t MaxReplicas = 1'000;

} // namespace

ReplicaFingerprint fingerprintOf(const ReplicaIncarnation &incarnation)
{
    return ReplicaFingerprint(
        fingerprintOf(absl::StrCat(incarnation.id.value(), "/", incarnation.endpoint.text(), "/",
                                   incarnation.startedAtMillis)));
}

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
    m_known.put(replica) = news;
    return changed;
}

std::optional<RequestRate> ReplicaLimits::limitOf(const ReplicaFingerprint &replica) const
{
    const Knowledge *known = m_known.find(replica);
    return known == nullptr ? std::nullopt : known->limit;
}

} // namespace boragepath
