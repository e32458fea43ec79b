#include "control/permit_client.h"

#include <algorithm>

namespace boragepath {

namespace {

constexpr Milliseconds AskInterval{300};
constexpr Milliseconds QueuePollInterval{2'000};
/** A gatekeeper that is silent for this long after a message is not waited for. */
constexpr Milliseconds SilenceLimit{1'000};
constexpr Milliseconds ReleaseInterval{500};
constexpr int MaxReleaseSends = 6;

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

void PermitServers::keepOnly(const std::function<bool(const ReplicaId &)> &mine)
{
    std::erase_if(m_permitServers, [&](const auto &item) { return !mine(item.first); });
}

void PermitServers::dropVm(const VmId &vm, FenceNumber newestGone)
{
    for (auto &[replica, permitServer] : m_permitServers) {
        permitServer.dropVm(vm, newestGone);
    }
}

void PermitServers::tick()
{
    for (auto &[replica, permitServer] : m_permitServers) {
        permitServer.tick();
    }
}

PermitClient::PermitClient(const Settings &settings, const Clock &clock, const Members &members,
                           Outbox &outbox, PermitServers &gatekeepers)
    : m_settings(settings)
    , m_clock(clock)
    , m_members(members)
    , m_outbox(outbox)
    , m_permitServers(gatekeepers)
{ }

PermitHolder PermitClient::selfHolder(PermitId id) const
{
    const MemberRecord *self = m_members.find(m_settings.vm);
    return {m_settings.vm, self == nullptr ? FenceNumber() : self->fence, id};
}

PermitId PermitClient::acquire(peers::PermitRequest request, std::uint32_t maxBatchSize, Done done)
{
    const PermitId id(m_nextId++);
    request.permit = static_cast<std::int64_t>(id.value());
    Ask &ask = m_asks[id];
    ask.request = request;
    ask.maxBatchSize = maxBatchSize;
    ask.done = std::move(done);
    ask.since = m_clock.now();
    ask.lastHeard = ask.since;
    send(id, ask);
    return id;
}

void PermitClient::send(PermitId id, Ask &ask)
{
    ask.lastSent = m_clock.now();
    ask.request.held = ask.state == State::Granted;
    const VmId &keeper = m_members.permitServerOf(ReplicaId(ask.request.replica));
    if (keeper == m_settings.vm) {
        PermitServer *permitServer = m_permitServers.forReplica(ReplicaId(ask.request.replica));
        if (permitServer != nullptr) {
            onAnswer(permitServer->request(selfHolder(id), ask.request));
        }
        return;
    }
    if (keeper.value().empty()) {
        return;
    }
    peers::Envelope &envelope = m_outbox.to(keeper);
    envelope.permitRequests.push_back(ask.request);
    envelope.__isset.permitRequests = true;
}

void PermitClient::sendRelease(PermitId id, Ask &ask)
{
    ask.lastSent = m_clock.now();
    ask.releaseSends += 1;
    const VmId &keeper = m_members.permitServerOf(ReplicaId(ask.request.replica));
    peers::PermitRelease release;
    release.permit = static_cast<std::int64_t>(id.value());
    release.replica = ask.request.replica;
    if (keeper == m_settings.vm) {
        PermitServer *permitServer = m_permitServers.forReplica(ReplicaId(release.replica));
        if (permitServer != nullptr) {
            permitServer->release(selfHolder(id));
        }
        m_asks.erase(id);
        return;
    }
    if (keeper.value().empty() || ask.releaseSends > MaxReleaseSends) {
        m_asks.erase(id);
        return;
    }
    peers::Envelope &envelope = m_outbox.to(keeper);
    envelope.permitReleases.push_back(release);
    envelope.__isset.permitReleases = true;
}

void PermitClient::release(PermitId permit)
{
    const auto found = m_asks.find(permit);
    if (found == m_asks.end() || found->second.state == State::Releasing) {
        return;
    }
    Ask &ask = found->second;
    if (ask.local) {
        m_localRunning[ask.request.replica] -= 1;
    }
    ask.state = State::Releasing;
    ask.done = nullptr;
    sendRelease(permit, ask);
}

void PermitClient::onAnswer(const peers::PermitAnswer &answer)
{
    const PermitId id(static_cast<std::uint64_t>(answer.permit));
    const auto found = m_asks.find(id);
    if (found == m_asks.end()) {
        return;
    }
    Ask &ask = found->second;
    ask.lastHeard = m_clock.now();
    if (ask.state == State::Granted || ask.state == State::Releasing) {
        return;
    }
    const PermitReply reply{answer.outcome, answer.running, answer.waiting,
                            Milliseconds(answer.retryAfterMillis)};
    // The callback may release this permit, so nothing of it is used afterwards.
    const Done done = ask.done;
    switch (answer.outcome) {
    case peers::PermitOutcome::GRANTED:
        ask.state = State::Granted;
        done(id, reply);
        break;
    case peers::PermitOutcome::QUEUED:
        ask.state = State::Queued;
        done(id, reply);
        break;
    case peers::PermitOutcome::REFUSED:
        m_asks.erase(found);
        done(id, reply);
        break;
    case peers::PermitOutcome::UNKNOWN:
        // The membership is in motion; the next round asks again.
        ask.state = State::Asking;
        break;
    }
}

void PermitClient::onReleased(const peers::PermitReleased &released)
{
    const auto found = m_asks.find(PermitId(static_cast<std::uint64_t>(released.permit)));
    if (found != m_asks.end() && found->second.state == State::Releasing) {
        m_asks.erase(found);
    }
}

void PermitClient::tryLocalShare(PermitId id, Ask &ask)
{
    const auto share = std::max<std::size_t>(
        1, ask.maxBatchSize / std::max<std::size_t>(1, m_members.liveCount()));
    int &running = m_localRunning[ask.request.replica];
    if (running >= static_cast<int>(share)) {
        return;
    }
    running += 1;
    m_localGrants += 1;
    ask.local = true;
    ask.state = State::Granted;
    const Done done = ask.done;
    done(id, {peers::PermitOutcome::GRANTED, running, 0, Milliseconds(0)});
}

void PermitClient::tick()
{
    const SteadyTime now = m_clock.now();
    std::vector<PermitId> ids;
    ids.reserve(m_asks.size());
    for (const auto &[id, ask] : m_asks) {
        ids.push_back(id);
    }
    for (const PermitId id : ids) {
        const auto found = m_asks.find(id);
        if (found == m_asks.end()) {
            continue;
        }
        Ask &ask = found->second;
        switch (ask.state) {
        case State::Asking:
            if (now >= ask.lastSent + AskInterval) {
                send(id, ask);
            }
            if (ask.state == State::Asking && now >= ask.lastHeard + SilenceLimit) {
                tryLocalShare(id, ask);
            }
            break;
        case State::Queued:
            if (now >= ask.lastSent + QueuePollInterval) {
                ask.state = now >= ask.lastHeard + QueuePollInterval + SilenceLimit ? State::Asking
                                                                                    : State::Queued;
                send(id, ask);
            }
            break;
        case State::Granted:
            if (now >= ask.lastSent + PermitRefresh) {
                send(id, ask);
            }
            break;
        case State::Releasing:
            if (now >= ask.lastSent + ReleaseInterval) {
                sendRelease(id, ask);
            }
            break;
        }
    }
}

void PermitClient::reset()
{
    m_asks.clear();
    m_localRunning.clear();
}

} // namespace boragepath
