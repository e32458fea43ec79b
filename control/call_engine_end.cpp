#include "control/call_engine.h"

#include "core/hash.h"

#include <algorithm>

// End of programs, release of their memory at backend servers, and changes of shard ownership.

namespace boragepath {

namespace {

constexpr Milliseconds ReleaseInterval{1'000};
constexpr Milliseconds RetryAfterUnavailable{1'000};

} // namespace

// --- Program end and memory release ------------------------------------------

void CallEngine::countProgramEnd(const Program &program, bool refused)
{
    m_statistics.programsEnded += 1;
    m_outcomes.push_back({program.key.entry, m_deps.clock.now() - program.started, refused});
}

std::vector<ProgramOutcome> CallEngine::takeOutcomes()
{
    return std::exchange(m_outcomes, {});
}

void CallEngine::endProgram(const ProgramKey &key, std::function<void(bool)> done)
{
    Program &program = findOrCreateProgram(key);
    program.lastActivity = m_deps.clock.now();
    if (program.current.has_value()) {
        done(false);
        return;
    }
    if (program.openRow.ended) {
        done(true);
        return;
    }
    program.openRow.ended = true;
    program.openRowStale = true;
    CommitItem item;
    item.writes.push_back({keys::ended(program.shard, key), "1"});
    addOpenRowWrite(program, item);
    item.done = [this, key, done](const CommitResult &result) {
        const bool committed = result.kind == CommitResult::Kind::Committed;
        Program *found = findProgram(key);
        if (committed && found != nullptr) {
            found->openRowDurable = true;
            countProgramEnd(*found, false);
            beginRelease(*found);
        }
        done(committed);
    };
    m_deps.commits.enqueue(std::move(item));
    startNextCall(program);
}

void CallEngine::beginRelease(Program &program)
{
    if (!m_safeguards.release) {
        return;
    }
    program.releasing = true;
    program.unreleasedReplicas = program.openRow.replicas;
    program.nextRelease = m_deps.clock.now();
    continueRelease(program);
}

void CallEngine::sendRelease(const ProgramKey &key, const ReplicaId &replica)
{
    const ReplicaSettings *settings = replicaOf(replica);
    if (settings == nullptr) {
        return;
    }
    const std::uint64_t id = m_nextRelease++;
    m_releases[id] = {key, replica};
    m_statistics.releasesSent += 1;
    m_deps.effects.releaseMemory(id, *settings, key);
}

void CallEngine::continueRelease(Program &program)
{
    std::erase_if(program.unreleasedReplicas,
                  [this](const ReplicaId &replica) { return replicaOf(replica) == nullptr; });
    if (program.unreleasedReplicas.empty()) {
        deleteOpenRow(program);
        return;
    }
    if (m_deps.clock.now() < program.nextRelease) {
        return;
    }
    program.nextRelease = m_deps.clock.now() + ReleaseInterval;
    for (const ReplicaId &replica : program.unreleasedReplicas) {
        sendRelease(program.key, replica);
    }
}

void CallEngine::onReleased(std::uint64_t id, bool acknowledged)
{
    const auto found = m_releases.find(id);
    if (found == m_releases.end()) {
        return;
    }
    const Release release = found->second;
    m_releases.erase(found);
    Program *program = findProgram(release.program);
    if (!acknowledged || program == nullptr || !program->releasing) {
        return;
    }
    program->unreleasedReplicas.erase(release.replica);
    if (program->unreleasedReplicas.empty()) {
        deleteOpenRow(*program);
    }
}

void CallEngine::deleteOpenRow(Program &program)
{
    if (!program.releasing) {
        return;
    }
    program.releasing = false;
    const ProgramKey key = program.key;
    CommitItem item;
    item.writes.push_back({keys::openProgram(program.shard, key), std::nullopt});
    item.done = [this, key](const CommitResult &result) {
        Program *found = findProgram(key);
        if (found != nullptr && result.kind == CommitResult::Kind::Committed) {
            found->openRowDurable = false;
        }
    };
    m_deps.commits.enqueue(std::move(item));
}

void CallEngine::reconcileHeldPrograms(const ReplicaId &replica,
                                       const std::vector<ProgramKey> &programs)
{
    if (!m_safeguards.release) {
        return;
    }
    for (const ProgramKey &key : programs) {
        if (!m_loadedShards.contains(shardOf(key, m_deps.settings.shardCount))) {
            continue;
        }
        Program *program = findProgram(key);
        if (program == nullptr) {
            sendRelease(key, replica);
            continue;
        }
        if (program->openRow.ended && program->isIdle()) {
            sendRelease(key, replica);
            continue;
        }
        // An earlier owner of the program used this replica but failed before it recorded that.
        if (program->openRow.replicas.insert(replica).second) {
            program->openRowStale = true;
        }
    }
}

// --- Ownership ---------------------------------------------------------------

void CallEngine::loadOpenPrograms(const std::vector<ShardIndex> &shards)
{
    for (const ShardIndex shard : shards) {
        m_deps.reader.read({keys::openProgramPrefix(shard), {}},
                           [this, shard](const RangeOutcome &outcome) {
                               for (const Row &row : outcome.rows) {
                                   loadOpenRow(row);
                               }
                               m_loadedShards.insert(shard);
                           });
    }
}

void CallEngine::loadOpenRow(const Row &row)
{
    const std::optional<ProgramKey> key = programFromOpenKey(row.key);
    const std::optional<OpenProgramRecord> record = decodeOpenProgram(row.value);
    if (!key.has_value() || !record.has_value()) {
        return;
    }
    Program &program = findOrCreateProgram(*key);
    const SteadyTime now = m_deps.clock.now();
    const std::int64_t ageMillis = unixMillis(m_deps.clock.wallNow()) - record->startedUnixMillis;
    program.started = now - Milliseconds(std::max<std::int64_t>(0, ageMillis));
    program.lastActivity = now;
    program.openRowDurable = true;
    program.openRow.startedUnixMillis = record->startedUnixMillis;
    program.openRow.parent = record->parent;
    program.openRow.ended = program.openRow.ended || record->ended;
    program.openRow.replicas.insert(record->replicas.begin(), record->replicas.end());
    if (program.openRow.ended) {
        beginRelease(program);
    }
}

bool CallEngine::shardIdle(ShardIndex shard) const
{
    return std::all_of(m_programs.begin(), m_programs.end(), [&](const auto &item) {
        return item.second.shard != shard || item.second.isIdle();
    });
}

void CallEngine::dropShard(ShardIndex shard)
{
    m_loadedShards.erase(shard);
    m_suspendedShards.erase(shard);
    std::erase_if(m_programs, [&](const auto &item) { return item.second.shard == shard; });
}

void CallEngine::reset()
{
    const Refusal notRun = makeRefusal(Verdict::NotRun, Reason::NoLease,
                                       "this VM has lost its ownership", RetryAfterUnavailable);
    const Refusal outcomeUnknown = makeRefusal(
        Verdict::MayHaveRun, Reason::RecordLost,
        "this VM lost its ownership before the call was recorded", RetryAfterUnavailable);
    for (auto &[key, program] : m_programs) {
        for (const DeferredCall &call : program.awaitingLoad) {
            refuse(call.request.handle, notRun, program.next);
        }
        for (const auto &[number, call] : program.outOfOrder) {
            refuse(call.request.handle, notRun, program.next);
        }
        if (program.current.has_value()) {
            const CallStage stage = program.current->stage;
            const bool sent = stage == CallStage::Running || stage == CallStage::CommittingTurn;
            for (const CallHandle handle : program.current->handles) {
                refuse(handle, sent ? outcomeUnknown : notRun, program.next);
            }
        }
    }
    m_programs.clear();
    m_runningCalls.clear();
    m_releases.clear();
    m_loadedShards.clear();
    m_suspendedShards.clear();
}

} // namespace boragepath
