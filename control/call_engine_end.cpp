#include "control/call_engine.h"

#include "core/hash.h"

#include <algorithm>

// Ends of programs, their memory at backend servers, and changes of ownership.

namespace boragepath {

namespace {

constexpr Milliseconds ReleaseInterval{1'000};
constexpr Milliseconds RetryAfterTrouble{1'000};

} // namespace

// --- Ends and memory ---------------------------------------------------------

void CallEngine::noteEnd(const Program &program, bool refused)
{
    m_statistics.programsEnded += 1;
    m_outcomes.push_back({program.key.entry, m_parts.clock.now() - program.started, refused});
}

std::vector<ProgramOutcome> CallEngine::takeOutcomes()
{
    return std::exchange(m_outcomes, {});
}

void CallEngine::endProgram(const ProgramKey &key, std::function<void(bool)> done)
{
    Program &program = programOf(key);
    program.lastActivity = m_parts.clock.now();
    if (program.current.has_value()) {
        done(false);
        return;
    }
    if (program.open.ended) {
        done(true);
        return;
    }
    program.open.ended = true;
    program.openStale = true;
    CommitItem item;
    item.writes.push_back({keys::ended(program.shard, key), "1"});
    writeOpen(program, item);
    item.done = [this, key, done](const CommitResult &result) {
        const bool committed = result.kind == CommitResult::Kind::Committed;
        Program *found = findProgram(key);
        if (committed && found != nullptr) {
            found->openDurable = true;
            noteEnd(*found, false);
            beginRelease(*found);
        }
        done(committed);
    };
    m_parts.commits.enqueue(std::move(item));
    advance(program);
}

void CallEngine::beginRelease(Program &program)
{
    if (!m_safeguards.release) {
        return;
    }
    program.releasing = true;
    program.unreleased = program.open.replicas;
    program.nextRelease = m_parts.clock.now();
    driveRelease(program);
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
    m_parts.effects.releaseMemory(id, *settings, key);
}

void CallEngine::driveRelease(Program &program)
{
    std::erase_if(program.unreleased,
                  [this](const ReplicaId &replica) { return replicaOf(replica) == nullptr; });
    if (program.unreleased.empty()) {
        dropOpenRow(program);
        return;
    }
    if (m_parts.clock.now() < program.nextRelease) {
        return;
    }
    program.nextRelease = m_parts.clock.now() + ReleaseInterval;
    for (const ReplicaId &replica : program.unreleased) {
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
    program->unreleased.erase(release.replica);
    if (program->unreleased.empty()) {
        dropOpenRow(*program);
    }
}

void CallEngine::dropOpenRow(Program &program)
{
    if (!program.releasing) {
        return;
    }
    program.releasing = false;
    const ProgramKey key = program.key;
    CommitItem item;
    item.writes.push_back({keys::open(program.shard, key), std::nullopt});
    item.done = [this, key](const CommitResult &result) {
        Program *found = findProgram(key);
        if (found != nullptr && result.kind == CommitResult::Kind::Committed) {
            found->openDurable = false;
        }
    };
    m_parts.commits.enqueue(std::move(item));
}

void CallEngine::reconcileHeldPrograms(const ReplicaId &replica,
                                       const std::vector<ProgramKey> &programs)
{
    if (!m_safeguards.release) {
        return;
    }
    for (const ProgramKey &key : programs) {
        if (!m_scanned.contains(shardOf(key, m_parts.settings.shardCount))) {
            continue;
        }
        Program *program = findProgram(key);
        if (program == nullptr) {
            sendRelease(key, replica);
            continue;
        }
        if (program->open.ended && program->quiet()) {
            sendRelease(key, replica);
            continue;
        }
        // An earlier owner used the replica and could not record it.
        if (program->open.replicas.insert(replica).second) {
            program->openStale = true;
        }
    }
}

// --- Ownership ---------------------------------------------------------------

void CallEngine::loadOpenPrograms(const std::vector<ShardIndex> &shards)
{
    for (const ShardIndex shard : shards) {
        m_parts.reader.read({keys::openPrefix(shard), {}},
                            [this, shard](const RangeOutcome &outcome) {
                                for (const Row &row : outcome.rows) {
                                    noteOpenRow(row);
                                }
                                m_scanned.insert(shard);
                            });
    }
}

void CallEngine::noteOpenRow(const Row &row)
{
    const std::optional<ProgramKey> key = programFromOpenKey(row.key);
    const std::optional<OpenProgramRecord> record = decodeOpenProgram(row.value);
    if (!key.has_value() || !record.has_value()) {
        return;
    }
    Program &program = programOf(*key);
    const SteadyTime now = m_parts.clock.now();
    const std::int64_t age = unixMillis(m_parts.clock.wallNow()) - record->startedUnixMillis;
    program.started = now - Milliseconds(std::max<std::int64_t>(0, age));
    program.lastActivity = now;
    program.openDurable = true;
    program.open.startedUnixMillis = record->startedUnixMillis;
    program.open.parent = record->parent;
    program.open.ended = program.open.ended || record->ended;
    program.open.replicas.insert(record->replicas.begin(), record->replicas.end());
    if (program.open.ended) {
        beginRelease(program);
    }
}

bool CallEngine::shardIdle(ShardIndex shard) const
{
    return std::all_of(m_programs.begin(), m_programs.end(), [&](const auto &item) {
        return item.second.shard != shard || item.second.quiet();
    });
}

void CallEngine::dropShard(ShardIndex shard)
{
    m_scanned.erase(shard);
    m_frozen.erase(shard);
    std::erase_if(m_programs, [&](const auto &item) { return item.second.shard == shard; });
}

void CallEngine::reset()
{
    const Refusal notRun = makeRefusal(Verdict::NotRun, Reason::NoLease,
                                       "this VM has lost its ownership", RetryAfterTrouble);
    const Refusal lost =
        makeRefusal(Verdict::MayHaveRun, Reason::RecordLost,
                    "this VM lost its ownership before the call was recorded", RetryAfterTrouble);
    for (auto &[key, program] : m_programs) {
        for (const EarlyCall &call : program.unsorted) {
            refuse(call.request.handle, notRun, program.next);
        }
        for (const auto &[number, call] : program.early) {
            refuse(call.request.handle, notRun, program.next);
        }
        if (program.current.has_value()) {
            const CallStage stage = program.current->stage;
            const bool sent = stage == CallStage::Running || stage == CallStage::Recording;
            for (const CallHandle handle : program.current->handles) {
                refuse(handle, sent ? lost : notRun, program.next);
            }
        }
    }
    m_programs.clear();
    m_running.clear();
    m_releases.clear();
    m_scanned.clear();
    m_frozen.clear();
}

} // namespace boragepath
