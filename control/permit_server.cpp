#include "control/permit_server.h"

#include <algorithm>

namespace boragepath {

namespace {

/** Weight of the newest call in the mean service time. */
constexpr double MeanWeight = 0.1;
constexpr Milliseconds ShortestRetryAfter{500};

} // namespace

PermitServer::PermitServer(Config config, const Clock &clock)
    : m_config(std::move(config))
    , m_clock(clock)
{ }

peers::PermitAnswer PermitServer::answerFor(const PermitHolder &holder,
                                            peers::PermitOutcome::type outcome)
{
    peers::PermitAnswer answer;
    answer.permit = static_cast<std::int64_t>(holder.permit.value());
    answer.replica = m_config.replica.value();
    answer.outcome = outcome;
    answer.running = static_cast<std::int32_t>(m_running.size());
    answer.waiting = static_cast<std::int32_t>(m_waiting.size());
    answer.retryAfterMillis = 0;
    return answer;
}

Milliseconds PermitServer::expectedWait() const
{
    const double calls = static_cast<double>(m_waiting.size() + 1);
    return Milliseconds(
        static_cast<std::int64_t>(calls * m_meanServiceMillis / m_config.maxBatchSize));
}

peers::PermitAnswer PermitServer::request(const PermitHolder &holder,
                                          const peers::PermitRequest &request)
{
    const SteadyTime now = m_clock.now();
    const auto running = m_running.find(holder);
    if (running != m_running.end()) {
        running->second.refreshed = now;
        return answerFor(holder, peers::PermitOutcome::GRANTED);
    }
    if (request.held) {
        // The permit was granted by an earlier gatekeeper, or expired here.
        m_running[holder] = {now, now};
        return answerFor(holder, peers::PermitOutcome::GRANTED);
    }
    const auto waiting = m_waiting.find(holder);
    if (waiting != m_waiting.end()) {
        waiting->second.refreshed = now;
        return answerFor(holder, peers::PermitOutcome::QUEUED);
    }
    const auto serviceClass = static_cast<ServiceClass>(request.serviceClass);
    const bool crowded = m_running.size() >= m_config.maxBatchSize;
    const Milliseconds limit = shedLimit(serviceClass, request.started, m_config.queueTimeout);
    if (m_leaving || (crowded && expectedWait() > limit)) {
        peers::PermitAnswer answer = answerFor(holder, peers::PermitOutcome::REFUSED);
        answer.retryAfterMillis = std::max(ShortestRetryAfter, expectedWait() / 2).count();
        return answer;
    }
    m_version += 1;
    if (serviceClass == ServiceClass::Alert) {
        m_running[holder] = {now, now};
        return answerFor(holder, peers::PermitOutcome::GRANTED);
    }
    m_waiting[holder] = {request, now, now};
    grantNext();
    if (m_running.contains(holder)) {
        std::erase_if(m_notices,
                      [&](const PermitNotice &notice) { return notice.holder == holder; });
        return answerFor(holder, peers::PermitOutcome::GRANTED);
    }
    return answerFor(holder, peers::PermitOutcome::QUEUED);
}

void PermitServer::release(const PermitHolder &holder)
{
    const auto running = m_running.find(holder);
    if (running != m_running.end()) {
        const auto served = static_cast<double>(toMillis(m_clock.now() - running->second.since));
        m_meanServiceMillis += MeanWeight * (served - m_meanServiceMillis);
        m_running.erase(running);
        m_version += 1;
    }
    if (m_waiting.erase(holder) > 0) {
        m_version += 1;
    }
    grantNext();
}

void PermitServer::dropVm(const VmId &vm, FenceNumber newestGone)
{
    const auto gone = [&](const auto &item) {
        return item.first.vm == vm && item.first.fence <= newestGone;
    };
    std::erase_if(m_running, gone);
    std::erase_if(m_waiting, gone);
    m_version += 1;
    grantNext();
}

void PermitServer::tick()
{
    const SteadyTime now = m_clock.now();
    const auto expired = [&](const auto &item) {
        return now >= item.second.refreshed + PermitExpiry;
    };
    if (std::erase_if(m_running, expired) + std::erase_if(m_waiting, expired) > 0) {
        m_version += 1;
        grantNext();
    }
}

void PermitServer::setLeaving(bool leaving)
{
    if (m_leaving == leaving) {
        return;
    }
    m_leaving = leaving;
    m_version += 1;
    if (!leaving) {
        grantNext();
        return;
    }
    for (const auto &[holder, waiting] : m_waiting) {
        m_notices.push_back({holder, answerFor(holder, peers::PermitOutcome::REFUSED)});
    }
    m_waiting.clear();
}

WaitingCall PermitServer::describe(const Waiting &waiting) const
{
    const auto here = std::chrono::duration_cast<Milliseconds>(m_clock.now() - waiting.arrived);
    WaitingCall call;
    call.serviceClass = static_cast<ServiceClass>(waiting.request.serviceClass);
    call.attainedService = Milliseconds(waiting.request.attainedMillis);
    call.slack = Milliseconds(waiting.request.slackMillis) - here;
    call.waited = Milliseconds(waiting.request.waitedMillis) + here;
    call.started = waiting.request.started;
    return call;
}

void PermitServer::grantNext()
{
    while (!m_leaving && m_running.size() < m_config.maxBatchSize && !m_waiting.empty()) {
        auto best = m_waiting.begin();
        double bestRank = rankOf(m_config.policy, describe(best->second));
        for (auto item = std::next(m_waiting.begin()); item != m_waiting.end(); ++item) {
            const double rank = rankOf(m_config.policy, describe(item->second));
            if (rank < bestRank) {
                bestRank = rank;
                best = item;
            }
        }
        const PermitHolder holder = best->first;
        m_waiting.erase(best);
        const SteadyTime now = m_clock.now();
        m_running[holder] = {now, now};
        m_version += 1;
        m_notices.push_back({holder, answerFor(holder, peers::PermitOutcome::GRANTED)});
    }
}

std::vector<PermitNotice> PermitServer::takeNotices()
{
    return std::exchange(m_notices, {});
}

peers::ReplicaLoad PermitServer::load() const
{
    peers::ReplicaLoad load;
    load.replica = m_config.replica.value();
    load.running = static_cast<std::int32_t>(m_running.size());
    load.waiting = static_cast<std::int32_t>(m_waiting.size());
    load.version = m_version;
    load.leaving = m_leaving;
    return load;
}

} // namespace boragepath
