#include "control/permit_client.h"

#include <algorithm>

namespace boragepath {

namespace {

constexpr Milliseconds RequestRetryInterval{300};
constexpr Milliseconds QueuePollInterval{2'000};
/** A permit server that has not answered for this long is considered unreachable. */
constexpr Milliseconds ResponseTimeout{1'000};
constexpr Milliseconds ReleaseRetryInterval{500};
constexpr int MaxReleaseAttempts = 6;

} // namespace

PermitServers::PermitServers(const Settings &settings, const Clock &clock)
    : m_settings(settings)
    , m_clock(clock)
{ }

PermitServer *PermitServers::forReplica(const ReplicaId &replica)
{
    const auto found = m_permitServers.find(replica);
    if (found != m_permitServers.end()) {
        return &found->second;
    }
    for (const PoolSettings &pool : m_settings.pools) {
        for (const ReplicaSettings &candidate : pool.replicas) {
            if (candidate.id == replica) {
                const PermitServer::Config config{replica, pool.maxBatchSize, m_settings.policy,
                                                  m_settings.queueTimeout};
                return &m_permitServers.emplace(replica, PermitServer(config, m_clock))
                            .first->second;
            }
        }
    }
    return nullptr;
}

void PermitServers::keepOnly(const std::function<bool(const ReplicaId &)> &isLocal)
{
    std::erase_if(m_permitServers, [&](const auto &item) { return !isLocal(item.first); });
}

void PermitServers::dropVm(const VmId &vm, FenceNumber lastGoneFence)
{
    for (auto &[replica, permitServer] : m_permitServers) {
        permitServer.dropVm(vm, lastGoneFence);
    }
}

void PermitServers::tick()
{
    for (auto &[replica, permitServer] : m_permitServers) {
        permitServer.tick();
    }
}

PermitClient::PermitClient(const Settings &settings, const Clock &clock, const Members &members,
                           Outbox &outbox, PermitServers &permitServers)
    : m_settings(settings)
    , m_clock(clock)
    , m_members(members)
    , m_outbox(outbox)
    , m_permitServers(permitServers)
{ }

PermitHolder PermitClient::ownHolder(PermitId id) const
{
    const MemberRecord *self = m_members.find(m_settings.vm);
    return {m_settings.vm, self == nullptr ? FenceNumber() : self->fence, id};
}

PermitId PermitClient::acquire(peers::PermitRequest request, std::uint32_t maxBatchSize,
                               Callback callback)
{
    const PermitId id(m_nextId++);
    request.permit = static_cast<std::int64_t>(id.value());
    Permit &permit = m_permits[id];
    permit.request = request;
    permit.maxBatchSize = maxBatchSize;
    permit.callback = std::move(callback);
    permit.requestedAt = m_clock.now();
    permit.lastAnswerAt = permit.requestedAt;
    send(id, permit);
    return id;
}

void PermitClient::send(PermitId id, Permit &permit)
{
    permit.lastSentAt = m_clock.now();
    permit.request.held = permit.state == State::Granted;
    const VmId &serverVm = m_members.permitServerOf(ReplicaId(permit.request.replica));
    if (serverVm == m_settings.vm) {
        PermitServer *permitServer = m_permitServers.forReplica(ReplicaId(permit.request.replica));
        if (permitServer != nullptr) {
            onAnswer(permitServer->request(ownHolder(id), permit.request));
        }
        return;
    }
    if (serverVm.value().empty()) {
        return;
    }
    peers::Envelope &envelope = m_outbox.to(serverVm);
    envelope.permitRequests.push_back(permit.request);
    envelope.__isset.permitRequests = true;
}

void PermitClient::sendRelease(PermitId id, Permit &permit)
{
    permit.lastSentAt = m_clock.now();
    permit.releaseAttempts += 1;
    const VmId &serverVm = m_members.permitServerOf(ReplicaId(permit.request.replica));
    peers::PermitRelease release;
    release.permit = static_cast<std::int64_t>(id.value());
    release.replica = permit.request.replica;
    if (serverVm == m_settings.vm) {
        PermitServer *permitServer = m_permitServers.forReplica(ReplicaId(release.replica));
        if (permitServer != nullptr) {
            permitServer->release(ownHolder(id));
        }
        m_permits.erase(id);
        return;
    }
    if (serverVm.value().empty() || permit.releaseAttempts > MaxReleaseAttempts) {
        m_permits.erase(id);
        return;
    }
    peers::Envelope &envelope = m_outbox.to(serverVm);
    envelope.permitReleases.push_back(release);
    envelope.__isset.permitReleases = true;
}

void PermitClient::release(PermitId id)
{
    const auto found = m_permits.find(id);
    if (found == m_permits.end() || found->second.state == State::Releasing) {
        return;
    }
    Permit &permit = found->second;
    if (permit.local) {
        m_localRunning[permit.request.replica] -= 1;
    }
    permit.state = State::Releasing;
    permit.callback = nullptr;
    sendRelease(id, permit);
}

void PermitClient::onAnswer(const peers::PermitAnswer &answer)
{
    const PermitId id(static_cast<std::uint64_t>(answer.permit));
    const auto found = m_permits.find(id);
    if (found == m_permits.end()) {
        return;
    }
    Permit &permit = found->second;
    permit.lastAnswerAt = m_clock.now();
    if (permit.state == State::Granted || permit.state == State::Releasing) {
        return;
    }
    const PermitReply reply{answer.outcome, answer.running, answer.waiting,
                            Milliseconds(answer.retryAfterMillis)};
    // The callback may release this permit, so `permit` must not be used after the call.
    const Callback callback = permit.callback;
    switch (answer.outcome) {
    case peers::PermitOutcome::GRANTED:
        permit.state = State::Granted;
        callback(id, reply);
        break;
    case peers::PermitOutcome::QUEUED:
        permit.state = State::Queued;
        callback(id, reply);
        break;
    case peers::PermitOutcome::REFUSED:
        m_permits.erase(found);
        callback(id, reply);
        break;
    case peers::PermitOutcome::UNKNOWN:
        // The membership is changing; tick() repeats the request.
        permit.state = State::Requesting;
        break;
    }
}

void PermitClient::onReleased(const peers::PermitReleased &released)
{
    const auto found = m_permits.find(PermitId(static_cast<std::uint64_t>(released.permit)));
    if (found != m_permits.end() && found->second.state == State::Releasing) {
        m_permits.erase(found);
    }
}

void PermitClient::tryLocalGrant(PermitId id, Permit &permit)
{
    const auto localLimit = std::max<std::size_t>(
        1, permit.maxBatchSize / std::max<std::size_t>(1, m_members.liveCount()));
    int &running = m_localRunning[permit.request.replica];
    if (running >= static_cast<int>(localLimit)) {
        return;
    }
    running += 1;
    m_localGrants += 1;
    permit.local = true;
    permit.state = State::Granted;
    const Callback callback = permit.callback;
    callback(id, {peers::PermitOutcome::GRANTED, running, 0, Milliseconds(0)});
}

void PermitClient::tick()
{
    const SteadyTime now = m_clock.now();
    std::vector<PermitId> ids;
    ids.reserve(m_permits.size());
    for (const auto &[id, permit] : m_permits) {
        ids.push_back(id);
    }
    for (const PermitId id : ids) {
        const auto found = m_permits.find(id);
        if (found == m_permits.end()) {
            continue;
        }
        Permit &permit = found->second;
        switch (permit.state) {
        case State::Requesting:
            if (now >= permit.lastSentAt + RequestRetryInterval) {
                send(id, permit);
            }
            if (permit.state == State::Requesting && now >= permit.lastAnswerAt + ResponseTimeout) {
                tryLocalGrant(id, permit);
            }
            break;
        case State::Queued:
            if (now >= permit.lastSentAt + QueuePollInterval) {
                permit.state = now >= permit.lastAnswerAt + QueuePollInterval + ResponseTimeout
                    ? State::Requesting
                    : State::Queued;
                send(id, permit);
            }
            break;
        case State::Granted:
            if (now >= permit.lastSentAt + PermitRefreshInterval) {
                send(id, permit);
            }
            break;
        case State::Releasing:
            if (now >= permit.lastSentAt + ReleaseRetryInterval) {
                sendRelease(id, permit);
            }
            break;
        }
    }
}

void PermitClient::reset()
{
    m_permits.clear();
    m_localRunning.clear();
}

} // namespace boragepath
