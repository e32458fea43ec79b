#include "tests/support/crash_fleet.h"

#include "tests/support/fleet_vms.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace boragepath {

namespace {

/** From the sending of a request until the replica ends under it. */
constexpr Milliseconds RunTime{80};
constexpr Milliseconds DatagramDelay{2};
constexpr Milliseconds GossipInterval{300};
constexpr std::size_t GossipFanout = 4;
constexpr std::size_t NewsPerDatagram = 12;

} // namespace

struct CrashFleet::Vm
{
    Vm(CrashFleet &fleet, std::size_t index)
        : directory(fleet.m_clock, fleetVm(index), index)
        , quarantine(fleet.m_clock, fleet.m_timers, directory,
                     [&fleet, index](const Endpoint &to,
                                     const std::vector<peers::RequestCrashNews> &news) {
                         fleet.send(index, to.port - FirstPeersPort, news);
                     })
        , rows(fleet.m_clock, fleet.m_timers, fleet.m_store, directory, quarantine, index)
    {
        rows.start();
    }

    VmDirectory directory;
    RequestQuarantine quarantine;
    QuarantineRows rows;
};

CrashFleet::CrashFleet(std::size_t vms, std::uint64_t seed)
    : m_random(seed)
    , m_vms(vms)
{
    for (std::size_t index = 0; index < vms; ++index) {
        start(index);
    }
}

CrashFleet::~CrashFleet() = default;

void CrashFleet::start(std::size_t vm)
{
    m_vms[vm] = std::make_shared<Vm>(*this, vm);
    const bool allStarted =
        std::all_of(m_vms.begin(), m_vms.end(), [](const auto &item) { return item != nullptr; });
    if (allStarted) {
        exchangeVmNews(m_vms);
    }
    gossip(vm);
}

void CrashFleet::restart(std::size_t vm)
{
    // Timers refer to the old process, so it is kept; it gets no datagrams any more.
    m_sideB.erase(vm);
    const std::shared_ptr<Vm> old = m_vms[vm];
    start(vm);
    m_timers.after(std::chrono::hours(24), [old] {});
}

void CrashFleet::gossip(std::size_t vm)
{
    const std::shared_ptr<Vm> sender = m_vms[vm];
    m_timers.after(GossipInterval, [this, vm, sender] {
        if (m_vms[vm] == sender) {
            gossip(vm);
        }
    });
    peers::VmHeartbeat heartbeat;
    heartbeat.fingerprint = sender->directory.self().fingerprint;
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        if (m_vms[index] != nullptr && isConnected(vm, index)) {
            m_vms[index]->directory.receive(std::vector<peers::VmHeartbeat>{heartbeat});
        }
    }
    const auto news = sender->quarantine.takeForGossip(NewsPerDatagram);
    for (std::size_t count = 0; count < GossipFanout; ++count) {
        send(vm, m_random() % m_vms.size(), news);
    }
}

bool CrashFleet::isConnected(std::size_t from, std::size_t to) const
{
    return m_sideB.contains(from) == m_sideB.contains(to);
}

void CrashFleet::cutAt(std::size_t first)
{
    for (std::size_t index = first; index < m_vms.size(); ++index) {
        m_sideB.insert(index);
    }
}

void CrashFleet::send(std::size_t from, std::size_t to,
                      const std::vector<peers::RequestCrashNews> &news)
{
    const bool isLost = std::uniform_real_distribution<double>(0, 1)(m_random) < lossRate;
    if (isLost || !isConnected(from, to)) {
        return;
    }
    m_timers.after(DatagramDelay, [this, to, news] { m_vms[to]->quarantine.receive(news); });
}

bool CrashFleet::sendCrashing(std::size_t vm, const RequestIdentity &request)
{
    const AttemptId attempt(absl::StrCat("attempt-", m_random()));
    if (!m_vms[vm]->quarantine.admits(request, attempt)) {
        return false;
    }
    const SteadyTime sentAt = m_clock.now();
    m_sentAt.push_back(sentAt);
    const ReplicaFingerprint replica(static_cast<std::int64_t>(m_sentAt.size()));
    m_timers.after(RunTime, [this, vm, request, replica, sentAt] {
        m_crashedAt.push_back(m_clock.now());
        m_vms[vm]->quarantine.noteCrash(request, {replica, sentAt, m_clock.now(), false});
    });
    return true;
}

bool CrashFleet::sendCrashing(const RequestIdentity &request)
{
    return sendCrashing(m_random() % m_vms.size(), request);
}

void CrashFleet::answer(std::size_t vm, const RequestIdentity &request)
{
    m_vms[vm]->quarantine.noteAnswered(request);
}

std::size_t CrashFleet::sentAfterThirdCrash(Duration delay) const
{
    if (m_crashedAt.size() < 3) {
        return 0;
    }
    const SteadyTime from = m_crashedAt[2] + delay;
    return static_cast<std::size_t>(std::count_if(
        m_sentAt.begin(), m_sentAt.end(), [&](SteadyTime sentAt) { return sentAt > from; }));
}

} // namespace boragepath
