#include "control/gossip.h"

#include "core/hash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace boragepath {

namespace {

constexpr Milliseconds ProbeTimeout{600};
constexpr int MissesToSuspect = 2;
/** Keeps the bytes for probes bounded as the deployment grows. */
constexpr Milliseconds ProbeIntervalPerMember{3};
constexpr std::size_t MaxSuspicionsInProbe = 8;
constexpr std::size_t MaxLoadsInProbe = 8;
/** VMs that watch a suspect's row at first; doubles with every lease term. */
constexpr std::size_t FirstWatchers = 3;
constexpr int MaxWatcherDoublings = 8;
constexpr int ReadsPerTerm = 4;

} // namespace

Gossip::Gossip(const Settings &settings, const Clock &clock, CommitQueue &commits,
               TableReader &reader, const Members &members, Outbox &outbox, ReplicaLoads &loads,
               SharedRowPoller &feed, std::uint64_t seed)
    : m_settings(settings)
    , m_clock(clock)
    , m_commits(commits)
    , m_reader(reader)
    , m_members(members)
    , m_outbox(outbox)
    , m_loads(loads)
    , m_feed(feed)
    , m_random(seed)
{ }

peers::Probe Gossip::makeProbe(const ProbeState &state, bool answer)
{
    peers::Probe probe;
    probe.answer = answer;
    probe.sequence = static_cast<std::int64_t>(++m_sequence);
    probe.catalogueRevision = static_cast<std::int64_t>(state.catalogueRevision.value());
    probe.placementRevision = static_cast<std::int64_t>(state.newestRow.value());
    probe.leaseless = state.leaseless;
    probe.catalogueAgeMillis =
        static_cast<std::int32_t>(std::min<std::int64_t>(toMillis(state.catalogueAge), INT32_MAX));
    for (const auto &[vm, suspect] : m_suspects) {
        if (probe.suspicions.size() >= MaxSuspicionsInProbe) {
            break;
        }
        peers::Suspicion suspicion;
        suspicion.vm = vm.value();
        suspicion.fence = static_cast<std::int64_t>(suspect.fence.value());
        probe.suspicions.push_back(std::move(suspicion));
    }
    probe.loads = m_loads.takeForGossip(MaxLoadsInProbe);
    return probe;
}

void Gossip::sendProbe(const VmId &to, const ProbeState &state)
{
    peers::Envelope &envelope = m_outbox.to(to);
    envelope.__set_probe(makeProbe(state, false));
    m_outstanding.try_emplace(to, Outstanding{m_clock.now(), 0});
}

void Gossip::probeNext(const ProbeState &state)
{
    std::vector<VmId> others;
    for (const auto &[vm, member] : m_members.all()) {
        if (vm != m_settings.vm && member.state != MemberState::Gone) {
            others.push_back(vm);
        }
    }
    const Duration growth = ProbeIntervalPerMember * static_cast<int>(others.size());
    m_nextProbe = m_clock.now() + std::max<Duration>(m_settings.probeInterval, growth);
    if (others.empty()) {
        return;
    }
    sendProbe(others[m_random() % others.size()], state);
    if (!m_suspects.empty()) {
        // A suspect gets a probe of its own, so that a false suspicion is soon cleared.
        auto suspect = m_suspects.begin();
        std::advance(suspect, static_cast<std::ptrdiff_t>(m_random() % m_suspects.size()));
        sendProbe(suspect->first, state);
    }
}

void Gossip::pushToAll(const ProbeState &state)
{
    for (const auto &[vm, member] : m_members.all()) {
        if (vm != m_settings.vm && member.state != MemberState::Gone) {
            sendProbe(vm, state);
        }
    }
}

void Gossip::checkOutstanding(const ProbeState &state)
{
    const SteadyTime now = m_clock.now();
    std::vector<VmId> again;
    for (auto item = m_outstanding.begin(); item != m_outstanding.end();) {
        Outstanding &outstanding = item->second;
        if (now < outstanding.sentAt + ProbeTimeout) {
            ++item;
            continue;
        }
        const VmId vm = item->first;
        outstanding.misses += 1;
        outstanding.sentAt = now;
        const MemberRecord *member = m_members.find(vm);
        if (member == nullptr || member->state == MemberState::Gone) {
            item = m_outstanding.erase(item);
            continue;
        }
        if (outstanding.misses >= MissesToSuspect) {
            suspect(vm, member->fence);
            item = m_outstanding.erase(item);
            continue;
        }
        again.push_back(vm);
        ++item;
    }
    for (const VmId &vm : again) {
        m_outbox.to(vm).__set_probe(makeProbe(state, false));
    }
}

void Gossip::onProbe(const VmId &from, const peers::Probe &probe, const ProbeState &state)
{
    const SteadyTime now = m_clock.now();
    PeerView &view = m_views[from];
    view.lastHeard = now;
    view.heardFrom = true;
    view.leaseless = probe.leaseless;
    view.catalogueRevision = CatalogueRevision(static_cast<std::uint64_t>(probe.catalogueRevision));
    m_outstanding.erase(from);
    const MemberRecord *member = m_members.find(from);
    if (!probe.leaseless) {
        m_suspects.erase(from);
    } else if (member != nullptr) {
        suspect(from, member->fence);
    }
    for (const peers::Suspicion &suspicion : probe.suspicions) {
        const VmId vm(suspicion.vm);
        const auto known = m_views.find(vm);
        const bool heardLately = known != m_views.end() && known->second.heardFrom
            && !known->second.leaseless && now < known->second.lastHeard + ProbeTimeout;
        if (vm != m_settings.vm && !heardLately) {
            suspect(vm, FenceNumber(static_cast<std::uint64_t>(suspicion.fence)));
        }
    }
    for (const peers::ReplicaLoad &load : probe.loads) {
        m_loads.update(load);
    }
    m_feed.hint(RowRevision(static_cast<std::uint64_t>(probe.placementRevision)));
    if (view.catalogueRevision <= state.catalogueRevision) {
        m_feed.confirm(Milliseconds(probe.catalogueAgeMillis));
    }
    if (!probe.answer) {
        m_outbox.to(from).__set_probe(makeProbe(state, true));
    }
}

void Gossip::suspect(const VmId &vm, FenceNumber fence)
{
    const MemberRecord *member = m_members.find(vm);
    if (member == nullptr || member->state == MemberState::Gone || member->fence != fence) {
        return;
    }
    const auto [item, added] = m_suspects.try_emplace(vm);
    if (added || item->second.fence != fence) {
        item->second = {};
        item->second.fence = fence;
        item->second.since = m_clock.now();
        item->second.nextRead = m_clock.now();
    }
}

bool Gossip::watches(const VmId &vm, const Suspect &suspect) const
{
    const auto terms = static_cast<int>((m_clock.now() - suspect.since) / m_settings.leaseTerm);
    const std::size_t watchers = FirstWatchers << std::min(terms, MaxWatcherDoublings);
    if (m_members.liveCount() <= watchers) {
        return true;
    }
    const std::string item = absl::StrCat("watch/", vm.value());
    const std::uint64_t own = rendezvousWeight(item, m_settings.vm.value());
    std::size_t ahead = 0;
    for (const VmId &other : m_members.live()) {
        if (other != vm && rendezvousWeight(item, other.value()) > own) {
            ahead += 1;
        }
    }
    return ahead < watchers;
}

void Gossip::judge(const VmId &vm, Suspect &suspect)
{
    const SteadyTime now = m_clock.now();
    if (suspect.reading || suspect.fencing || now < suspect.nextRead || !watches(vm, suspect)) {
        return;
    }
    suspect.reading = true;
    suspect.nextRead = now + m_settings.leaseTerm / ReadsPerTerm;
    const std::uint64_t generation = m_generation;
    m_reader.readOnce({keys::vm(vm), {}}, [=, this](const RangeOutcome &outcome) {
        if (generation == m_generation) {
            onSuspectRow(vm, now, outcome);
        }
    });
}

void Gossip::onSuspectRow(const VmId &vm, SteadyTime readAt, const RangeOutcome &outcome)
{
    const auto found = m_suspects.find(vm);
    if (found == m_suspects.end()) {
        return;
    }
    Suspect &suspect = found->second;
    suspect.reading = false;
    if (!outcome.answered) {
        return;
    }
    const std::string key = keys::vm(vm);
    const auto row = std::find_if(outcome.rows.begin(), outcome.rows.end(),
                                  [&](const Row &candidate) { return candidate.key == key; });
    if (row == outcome.rows.end()) {
        return;
    }
    if (!suspect.seen || row->revision != suspect.row) {
        suspect.seen = true;
        suspect.row = row->revision;
        // Counted from when the answer came: the holder counts from before it sent.
        suspect.unchangedSince = m_clock.now();
        return;
    }
    if (readAt >= suspect.unchangedSince + m_settings.leaseTerm + m_settings.leaseMargin) {
        fence(vm, suspect);
    }
}

void Gossip::fence(const VmId &vm, const Suspect &suspect)
{
    const MemberRecord *member = m_members.find(vm);
    if (member == nullptr || member->fence != suspect.fence) {
        m_suspects.erase(vm);
        return;
    }
    m_suspects[vm].fencing = true;
    MemberRecord gone = *member;
    gone.state = MemberState::Gone;
    CommitItem item;
    item.conditions = {{keys::vm(vm), suspect.row},
                       {keys::member(vm), m_members.rowRevisionOf(vm)}};
    item.writes = {{keys::vm(vm), encode(VmRecord{suspect.fence, 0, true})},
                   {keys::member(vm), encode(gone)},
                   {keys::grantsToClose(vm, suspect.fence), "1"}};
    item.done = [this, vm](const CommitResult &result) {
        m_suspects.erase(vm);
        if (result.kind == CommitResult::Kind::Committed) {
            m_fenced += 1;
            m_feed.hint(result.revision);
        }
    };
    m_commits.enqueue(std::move(item));
}

void Gossip::tick(const ProbeState &state)
{
    if (m_clock.now() >= m_nextProbe) {
        probeNext(state);
    }
    checkOutstanding(state);
    std::erase_if(m_suspects, [this](const auto &item) {
        const MemberRecord *member = m_members.find(item.first);
        return !item.second.fencing
            && (member == nullptr || member->fence != item.second.fence
                || member->state == MemberState::Gone);
    });
    for (auto &[vm, suspect] : m_suspects) {
        judge(vm, suspect);
    }
}

void Gossip::reset()
{
    m_generation += 1;
    m_outstanding.clear();
    m_suspects.clear();
}

} // namespace boragepath
