#include "control/node.h"

#include "core/hash.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace boragepath {

namespace {

constexpr Seconds ClosingInterval{2};
constexpr Seconds ReplicaPollInterval{1};
/** A planned stop gives up waiting for its calls after this long. */
constexpr Seconds LeaveLimit{600};
constexpr std::size_t MaxAddresses = 4;
constexpr std::int64_t MillisPerSecond = 1'000;

// Each part of the core has its own stream of random numbers.
enum SeedOffset : std::uint64_t {
    ReaderSeed = 1,
    CommitSeed,
    EngineSeed,
    GossipSeed,
    JoinerSeed,
};

CommitQueue::Config commitConfig(const Settings &settings, const Safeguards &safeguards)
{
    CommitQueue::Config config;
    config.vm = settings.vm;
    config.leaseTerm = settings.leaseTerm;
    config.commitInterval = Milliseconds(MillisPerSecond / settings.tableWritesPerSecond);
    config.pendingBytesLimit = settings.pendingCommitBytes;
    config.safeguards = safeguards.commits;
    return config;
}

std::string programText(const ProgramKey &key)
{
    return absl::StrCat(key.entry.value(), "/", key.program.value());
}

std::optional<ProgramKey> programOfText(const std::string &text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, '/');
    if (parts.size() != 2) {
        return std::nullopt;
    }
    return ProgramKey{EntryName(parts[0]), ProgramId(parts[1])};
}

} // namespace

Node::Node(const Settings &settings, const Clock &clock, Effects &effects, std::uint64_t seed,
           Safeguards safeguards)
    : m_settings(settings)
    , m_clock(clock)
    , m_effects(effects)
    , m_safeguards(safeguards)
    , m_members(settings.vm, settings.shardCount)
    , m_reader(clock, effects, seed + ReaderSeed)
    , m_commits(commitConfig(settings, safeguards), clock, effects, seed + CommitSeed)
    , m_outbox(effects, m_members)
    , m_loads(clock)
    , m_permitServers(settings, clock)
    , m_permits(settings, clock, m_members, m_outbox, m_permitServers)
    , m_ledger(settings.vm, clock, m_commits, m_reader)
    , m_engine({settings, clock, effects, m_commits, m_reader, m_ledger, m_permits, m_loads,
                m_members, m_catalogue},
               seed + EngineSeed, safeguards.calls)
    , m_shards(settings, clock, m_commits, m_members, m_engine)
    , m_feed(clock, m_reader, settings.cataloguePollInterval,
             [this](const std::vector<Row> &rows) { takeSharedRows(rows); })
    , m_gossip(settings, clock, m_commits, m_reader, m_members, m_outbox, m_loads, m_feed,
               seed + GossipSeed)
    , m_joiner(settings, clock, effects, m_reader, seed + JoinerSeed,
               [this](const Incarnation &incarnation) { onJoined(incarnation); })
    , m_admission(settings, clock, m_catalogue, m_members)
    , m_burn(settings.vm, clock, m_commits)
{ }

// --- Membership ------------------------------------------------------------

void Node::start()
{
    m_started = true;
    m_joiner.start();
}

void Node::onJoined(const Incarnation &incarnation)
{
    m_commits.start(incarnation.fence, incarnation.ownRow, incarnation.attempt,
                    incarnation.joinSentAt);
    takeMember(incarnation.member, incarnation.ownRow);
    m_feed.noteRow(incarnation.ownRow);
    m_shards.onJoined();
    m_effects.log("joined", absl::StrCat("fence ", incarnation.fence.value()));
}

void Node::recoverIfFenced()
{
    if (!m_started || m_commits.running() || m_joiner.busy() || m_left) {
        return;
    }
    if (m_commits.fence() == FenceNumber()) {
        return;
    }
    // The chain has ended: nothing of the old incarnation is kept.
    m_engine.reset();
    m_ledger.reset();
    m_permits.reset();
    m_gossip.reset();
    m_shards.reset();
    m_burn.reset();
    if (m_leaving) {
        m_left = true;
        return;
    }
    m_joiner.start();
}

bool Node::ready() const
{
    return m_commits.leaseValid() && m_feed.ready();
}

void Node::takeSharedRows(const std::vector<Row> &rows)
{
    for (const Row &row : rows) {
        if (absl::StartsWith(row.key, keys::memberPrefix())) {
            const std::optional<MemberRecord> record = decodeMember(row.value);
            if (record.has_value()) {
                takeMember(*record, row.revision);
            }
        } else if (absl::StartsWith(row.key, keys::entryPrefix())) {
            boost::json::error_code error;
            const boost::json::value value = boost::json::parse(row.value, error);
            const absl::StatusOr<CatalogueEntry> entry = parseEntry(value, row.key);
            if (!error && entry.ok()) {
                takeEntry(*entry, row.revision);
            }
        } else if (row.key == keys::catalogueRevision()) {
            m_catalogue.applyRevision(CatalogueRevision(decodeNumber(row.value).value_or(0)),
                                      row.revision);
        }
    }
    // Shards come after members, so that an owner is known when its shard is.
    for (const Row &row : rows) {
        std::uint32_t index = 0;
        const bool isShard = absl::StartsWith(row.key, keys::shardPrefix())
            && absl::SimpleAtoi(row.key.substr(keys::shardPrefix().size()), &index);
        const std::optional<ShardRecord> record = isShard ? decodeShard(row.value) : std::nullopt;
        if (record.has_value()) {
            m_shards.apply(ShardIndex(index), *record, row.revision);
        }
    }
}

void Node::takeMember(const MemberRecord &record, RowRevision row)
{
    if (row <= m_members.rowRevisionOf(record.vm)) {
        return;
    }
    const MemberRecord *before = m_members.find(record.vm);
    if (before != nullptr && before->fence != record.fence) {
        m_permitServers.dropVm(record.vm, before->fence);
    }
    if (record.state == MemberState::Gone) {
        m_permitServers.dropVm(record.vm, record.fence);
    }
    if (m_members.apply(record, row)) {
        onMembersChanged();
    }
}

void Node::onMembersChanged()
{
    const auto live = static_cast<std::int64_t>(std::max<std::size_t>(1, m_members.liveCount()));
    m_commits.setCommitInterval(
        Milliseconds(live * MillisPerSecond / m_settings.tableWritesPerSecond));
    m_permitServers.keepOnly([this](const ReplicaId &replica) {
        return m_members.permitServerOf(replica) == m_settings.vm;
    });
}

void Node::leave()
{
    m_leaving = true;
    m_leaveStarted = m_clock.now();
    m_effects.log("leaving", "a planned stop has begun");
}

void Node::tickLeaving()
{
    if (!m_leaving || m_left || !m_commits.running()) {
        return;
    }
    const MemberRecord *self = m_members.find(m_settings.vm);
    if (self == nullptr) {
        return;
    }
    if (!m_leaveWritten) {
        m_leaveWritten = true;
        MemberRecord record = *self;
        record.state = MemberState::Leaving;
        CommitItem item;
        item.writes.push_back({keys::member(m_settings.vm), encode(record)});
        item.done = [this, record](const CommitResult &result) {
            if (result.kind == CommitResult::Kind::Committed) {
                takeMember(record, result.revision);
                m_feed.noteRow(result.revision);
                m_gossip.pushToAll(probeState());
            }
        };
        m_commits.enqueue(std::move(item));
        return;
    }
    const bool overdue = m_clock.now() >= m_leaveStarted + LeaveLimit;
    const bool alone = m_members.liveCount() == 0;
    const bool handedOver = m_shards.ownedCount() == 0 || alone;
    const bool quiet = m_engine.callsUnderWay() == 0 && handedOver;
    const bool announced = self->state == MemberState::Leaving;
    if (m_goneEnqueued || !announced || (!quiet && !overdue)) {
        return;
    }
    m_goneEnqueued = true;
    m_ledger.returnUnspent();
    MemberRecord gone = *self;
    gone.state = MemberState::Gone;
    CommitItem item;
    item.writes.push_back({keys::member(m_settings.vm), encode(gone)});
    item.writes.push_back({keys::grantsToClose(m_settings.vm, m_commits.fence()), "1"});
    item.done = [this, gone](const CommitResult &result) {
        takeMember(gone, result.revision);
        m_feed.noteRow(result.revision);
        m_gossip.pushToAll(probeState());
        m_left = true;
    };
    m_commits.enqueue(std::move(item));
}

// --- Time ------------------------------------------------------------------

void Node::tick()
{
    recoverIfFenced();
    m_joiner.tick();
    m_reader.tick();
    m_commits.tick();
    m_feed.tick();
    m_gossip.tick(probeState());
    m_shards.tick();
    tickPermitServers();
    m_permits.tick();
    m_ledger.tick();
    m_engine.tick();
    tickClosing();
    tickBurn();
    tickLeaving();
    pollReplicas();
    flush();
}

void Node::flush()
{
    for (auto &[replica, permitServer] : m_permitServers.all()) {
        for (const PermitNotice &notice : permitServer.takeNotices()) {
            if (notice.holder.vm == m_settings.vm) {
                m_permits.onAnswer(notice.answer);
                continue;
            }
            peers::Envelope &envelope = m_outbox.to(notice.holder.vm);
            envelope.permitAnswers.push_back(notice.answer);
            envelope.__isset.permitAnswers = true;
        }
    }
    m_commits.tick();
    m_outbox.flush(m_settings.vm, m_commits.fence());
}

void Node::tickPermitServers()
{
    m_permitServers.tick();
    for (auto &[replica, permitServer] : m_permitServers.all()) {
        peers::ReplicaLoad load = permitServer.load();
        // A later gatekeeper of the same replica has a larger fence number.
        constexpr int FenceShift = 24;
        load.version += static_cast<std::int64_t>(m_commits.fence().value() << FenceShift);
        m_loads.update(load);
        permitServer.setLeaving(m_loads.forReplica(replica).leaving);
    }
}

void Node::tickClosing()
{
    const SteadyTime now = m_clock.now();
    const bool ours = m_members.permitServerOf(ReplicaId("closing")) == m_settings.vm;
    if (!ours || m_closing || now < m_nextClosing || !m_commits.leaseValid()) {
        return;
    }
    m_nextClosing = now + ClosingInterval;
    m_closing = true;
    m_reader.readOnce({keys::grantsToClosePrefix(), {}}, [this](const RangeOutcome &outcome) {
        m_closing = false;
        for (const Row &row : outcome.rows) {
            closeOne(row.key);
        }
    });
}

void Node::closeOne(const std::string &key)
{
    const std::vector<std::string> parts = absl::StrSplit(key, '/');
    std::uint64_t fence = 0;
    if (parts.size() != 3 || !absl::SimpleAtoi(parts[2], &fence)) {
        return;
    }
    m_closing = true;
    closeGrants(VmId(parts[1]), FenceNumber(fence), m_commits, m_reader, [this, key] {
        m_closing = false;
        CommitItem item;
        item.writes.push_back({key, std::nullopt});
        item.done = [](const CommitResult &) {};
        m_commits.enqueue(std::move(item));
    });
}

void Node::tickBurn()
{
    for (const ProgramOutcome &outcome : m_engine.takeOutcomes()) {
        const CatalogueEntry *entry = m_catalogue.find(outcome.entry);
        const bool late = entry != nullptr && outcome.latency > entry->objective;
        m_burn.count(outcome.entry, late, outcome.refused);
    }
    m_burn.tick();
}

void Node::pollReplicas()
{
    const SteadyTime now = m_clock.now();
    if (now < m_nextReplicaPoll || !m_commits.running()) {
        return;
    }
    m_nextReplicaPoll = now + ReplicaPollInterval;
    for (const PoolSettings &pool : m_settings.pools) {
        for (const ReplicaSettings &replica : pool.replicas) {
            if (m_members.permitServerOf(replica.id) == m_settings.vm) {
                m_permitServers.forReplica(replica.id);
                const std::uint64_t id = m_nextPoll++;
                m_polls[id] = replica.id;
                m_effects.queryHeldPrograms(id, replica);
            }
        }
    }
}

ProbeState Node::probeState() const
{
    return {m_catalogue.revision(), m_feed.newestRow(), !m_commits.leaseValid(), m_feed.age()};
}

// --- Calls -----------------------------------------------------------------

std::vector<Endpoint> Node::addressesFor(const ProgramKey &key) const
{
    std::vector<Endpoint> result;
    const auto add = [&](const MemberRecord &member) {
        const bool known = std::find(result.begin(), result.end(), member.callers) != result.end();
        if (member.state == MemberState::Live && !known && result.size() < MaxAddresses) {
            result.push_back(member.callers);
        }
    };
    const ShardRecord &shard = m_shards.recordOf(shardOf(key, m_settings.shardCount));
    const MemberRecord *owner = m_members.find(shard.owner);
    if (owner != nullptr && owner->fence == shard.fence) {
        add(*owner);
    }
    for (const auto &[vm, member] : m_members.all()) {
        if (member.zone == m_settings.zone) {
            add(member);
        }
    }
    for (const auto &[vm, member] : m_members.all()) {
        add(member);
    }
    return result;
}

// --- Events ----------------------------------------------------------------

void Node::onTransaction(std::uint64_t id, const TransactionOutcome &outcome)
{
    if (!m_commits.onTransaction(id, outcome)) {
        m_joiner.onTransaction(id, outcome);
    }
    flush();
}

void Node::onRange(std::uint64_t id, const RangeOutcome &outcome)
{
    m_reader.onRange(id, outcome);
    flush();
}

void Node::onBackendOutcome(CallHandle handle, const BackendOutcome &outcome)
{
    m_engine.onBackendOutcome(handle, outcome);
    flush();
}

void Node::onReleased(std::uint64_t id, bool acknowledged)
{
    m_engine.onReleased(id, acknowledged);
    flush();
}

void Node::onHeldPrograms(std::uint64_t id, bool answered, bool leaving,
                          const std::vector<ProgramKey> &programs)
{
    const auto poll = m_polls.find(id);
    if (poll == m_polls.end()) {
        return;
    }
    const ReplicaId replica = poll->second;
    m_polls.erase(poll);
    if (!answered) {
        return;
    }
    if (m_loads.forReplica(replica).leaving != leaving) {
        m_loads.setLeaving(replica, leaving);
        PermitServer *permitServer = m_permitServers.forReplica(replica);
        permitServer->setLeaving(leaving);
        tickPermitServers();
        m_gossip.pushToAll(probeState());
    }
    passHeld(replica, programs);
    flush();
}

void Node::passHeld(const ReplicaId &replica, const std::vector<ProgramKey> &programs)
{
    for (const ProgramKey &key : programs) {
        const ShardIndex shard = shardOf(key, m_settings.shardCount);
        if (m_shards.owns(shard)) {
            m_engine.reconcileHeldPrograms(replica, {key});
            continue;
        }
        const ShardRecord &record = m_shards.recordOf(shard);
        if (!m_members.holds(record.owner, record.fence) || record.owner == m_settings.vm) {
            continue;
        }
        peers::Envelope &envelope = m_outbox.to(record.owner);
        if (envelope.__isset.heldPrograms && envelope.heldPrograms.replica != replica.value()) {
            continue;
        }
        envelope.__isset.heldPrograms = true;
        envelope.heldPrograms.replica = replica.value();
        envelope.heldPrograms.programs.push_back(programText(key));
    }
}

void Node::answerPermits(const VmId &from, FenceNumber fence, const peers::Envelope &envelope)
{
    if (envelope.permitRequests.empty() && envelope.permitReleases.empty()) {
        // An empty reply would be answered by an empty one, without end.
        return;
    }
    peers::Envelope &reply = m_outbox.to(from);
    for (const peers::PermitRequest &request : envelope.permitRequests) {
        const ReplicaId replica(request.replica);
        PermitServer *permitServer = m_members.permitServerOf(replica) == m_settings.vm
            ? m_permitServers.forReplica(replica)
            : nullptr;
        if (permitServer == nullptr) {
            peers::PermitAnswer answer;
            answer.permit = request.permit;
            answer.replica = request.replica;
            answer.outcome = peers::PermitOutcome::UNKNOWN;
            reply.permitAnswers.push_back(answer);
            continue;
        }
        const PermitHolder holder{from, fence,
                                  PermitId(static_cast<std::uint64_t>(request.permit))};
        reply.permitAnswers.push_back(permitServer->request(holder, request));
    }
    reply.__isset.permitAnswers = !reply.permitAnswers.empty();
    for (const peers::PermitRelease &release : envelope.permitReleases) {
        const ReplicaId replica(release.replica);
        if (m_members.permitServerOf(replica) == m_settings.vm) {
            m_permitServers.forReplica(replica)->release(
                {from, fence, PermitId(static_cast<std::uint64_t>(release.permit))});
        }
        peers::PermitReleased released;
        released.permit = release.permit;
        released.replica = release.replica;
        reply.permitsReleased.push_back(released);
    }
    reply.__isset.permitsReleased = !reply.permitsReleased.empty();
}

void Node::onDatagram(const peers::Envelope &envelope)
{
    const VmId from(envelope.vm);
    const FenceNumber fence(static_cast<std::uint64_t>(envelope.fence));
    const MemberRecord *member = m_members.find(from);
    if (envelope.__isset.probe) {
        m_gossip.onProbe(from, envelope.probe, probeState());
    }
    const bool known =
        member != nullptr && member->fence == fence && member->state != MemberState::Gone;
    if (known) {
        answerPermits(from, fence, envelope);
        for (const peers::PermitAnswer &answer : envelope.permitAnswers) {
            m_permits.onAnswer(answer);
        }
        for (const peers::PermitReleased &released : envelope.permitsReleased) {
            m_permits.onReleased(released);
        }
        std::vector<ProgramKey> held;
        for (const std::string &text : envelope.heldPrograms.programs) {
            const std::optional<ProgramKey> key = programOfText(text);
            if (key.has_value() && m_shards.owns(shardOf(*key, m_settings.shardCount))) {
                held.push_back(*key);
            }
        }
        m_engine.reconcileHeldPrograms(ReplicaId(envelope.heldPrograms.replica), held);
    }
    flush();
}

// --- Catalogue -------------------------------------------------------------

void Node::takeEntry(const CatalogueEntry &entry, RowRevision row)
{
    if (m_catalogue.applyEntry(entry, row)) {
        m_ledger.onEntryChanged(entry);
    }
}

void Node::applyCatalogue(std::vector<CatalogueEntry> entries, CatalogueRevision base,
                          std::function<void(const CatalogueEditResult &)> done)
{
    CatalogueEditResult result;
    if (!ready()) {
        done(result);
        return;
    }
    if (base != CatalogueRevision() && base != m_catalogue.revision()) {
        result.kind = CatalogueEditResult::Kind::Conflict;
        result.revision = m_catalogue.revision();
        done(result);
        return;
    }
    const CatalogueRevision next(m_catalogue.revision().value() + 1);
    CommitItem item;
    std::vector<CatalogueEntry> changed;
    for (CatalogueEntry &entry : entries) {
        const std::vector<std::string> changes =
            describeChange(m_catalogue.find(entry.name), entry);
        if (changes.empty()) {
            continue;
        }
        result.changes.insert(result.changes.end(), changes.begin(), changes.end());
        entry.revision = next;
        item.conditions.push_back({keys::entry(entry.name), m_catalogue.rowRevisionOf(entry.name)});
        item.writes.push_back(
            {keys::entry(entry.name), boost::json::serialize(entryToJson(entry))});
        changed.push_back(entry);
    }
    result.revision = m_catalogue.revision();
    result.kind = CatalogueEditResult::Kind::Accepted;
    if (changed.empty()) {
        done(result);
        return;
    }
    item.conditions.push_back({keys::catalogueRevision(), m_catalogue.revisionRow()});
    item.writes.push_back({keys::catalogueRevision(), encodeNumber(next.value())});
    item.done = [this, result, changed, next, done](const CommitResult &commit) mutable {
        if (commit.kind == CommitResult::Kind::Conflict) {
            result.kind = CatalogueEditResult::Kind::Conflict;
        } else if (commit.kind == CommitResult::Kind::Fenced) {
            result.kind = CatalogueEditResult::Kind::Unknown;
        } else {
            result.revision = next;
            for (const CatalogueEntry &entry : changed) {
                takeEntry(entry, commit.revision);
            }
            m_catalogue.applyRevision(next, commit.revision);
            m_feed.noteRow(commit.revision);
            m_gossip.pushToAll(probeState());
        }
        done(result);
    };
    m_commits.enqueue(std::move(item));
    flush();
}

std::vector<MemberStatus> Node::memberStatus() const
{
    std::vector<MemberStatus> result;
    for (const auto &[vm, member] : m_members.all()) {
        MemberStatus status;
        status.member = member;
        const auto view = m_gossip.views().find(vm);
        if (vm == m_settings.vm) {
            status.heardFrom = true;
            status.catalogueRevision = m_catalogue.revision();
        } else if (view != m_gossip.views().end() && view->second.heardFrom) {
            status.heardFrom = true;
            status.sinceLastHeard = m_clock.now() - view->second.lastHeard;
            status.catalogueRevision = view->second.catalogueRevision;
        }
        result.push_back(status);
    }
    return result;
}

void Node::readRows(const std::string &prefix, TableReader::Done done)
{
    m_reader.readOnce({prefix, {}}, std::move(done));
}

void Node::resolveIntent(const ProgramKey &key, CallNumber number, bool ran,
                         std::function<void(bool)> done)
{
    const ShardIndex shard = shardOf(key, m_settings.shardCount);
    const std::string turnKey = keys::turn(shard, key, number);
    m_reader.readOnce(
        {turnKey, {}}, [this, key, number, ran, turnKey, done](const RangeOutcome &outcome) {
            const std::optional<TurnRecord> turn =
                outcome.rows.empty() ? std::nullopt : decodeTurn(outcome.rows.front().value);
            if (!turn.has_value() || turn->verdict != Verdict::MayHaveRun) {
                done(false);
                return;
            }
            TurnRecord resolved = *turn;
            resolved.verdict = ran ? Verdict::Ran : Verdict::NotRun;
            resolved.decision += ran ? "; resolved by an operator: it ran"
                                     : "; resolved by an operator: it did not run";
            CommitItem item;
            item.conditions.push_back({turnKey, outcome.rows.front().revision});
            item.writes.push_back({turnKey, encode(resolved)});
            item.writes.push_back({keys::intentIndex(key, number), std::nullopt});
            item.done = [done](const CommitResult &result) {
                done(result.kind == CommitResult::Kind::Committed);
            };
            m_commits.enqueue(std::move(item));
        });
}

NodeGauges Node::gauges() const
{
    NodeGauges gauges;
    gauges.leaseValid = m_commits.leaseValid();
    gauges.liveMembers = m_members.liveCount();
    gauges.ownedShards = m_shards.ownedCount();
    gauges.programs = m_engine.programCount();
    gauges.callsUnderWay = m_engine.callsUnderWay();
    for (const auto &[replica, permitServer] : m_permitServers.all()) {
        gauges.permitsRunning += permitServer.running();
        gauges.permitsWaiting += permitServer.waiting();
    }
    gauges.suspects = m_gossip.suspectCount();
    gauges.takeovers = m_shards.takeovers();
    gauges.tableReads = m_reader.sent();
    gauges.localGrants = m_permits.localGrants();
    gauges.cachedBytes = m_engine.cachedBytes();
    gauges.catalogueRevision = m_catalogue.revision();
    gauges.commits = m_commits.statistics();
    gauges.calls = m_engine.statistics();
    return gauges;
}

} // namespace boragepath
