#include "control/shard_manager.h"

namespace boragepath {

namespace {

constexpr Milliseconds ScanInterval{50};

} // namespace

ShardManager::ShardManager(const Settings &settings, const Clock &clock, CommitQueue &commits,
                           const Members &members, CallEngine &engine)
    : m_settings(settings)
    , m_clock(clock)
    , m_commits(commits)
    , m_members(members)
    , m_engine(engine)
    , m_shards(settings.shardCount)
{ }

bool ShardManager::ownedByUs(const Shard &shard) const
{
    return m_commits.running() && shard.record.owner == m_settings.vm
        && shard.record.fence == m_commits.fence();
}

bool ShardManager::owns(ShardIndex index) const
{
    const Shard &shard = m_shards[index.value()];
    return ownedByUs(shard) && !shard.moving;
}

void ShardManager::noteOwnership(ShardIndex index)
{
    const bool before = m_owned.contains(index);
    const bool now = ownedByUs(m_shards[index.value()]);
    if (now && !before) {
        m_owned.insert(index);
        m_gained.push_back(index);
    }
    if (before && !now) {
        m_owned.erase(index);
        m_engine.dropShard(index);
    }
}

void ShardManager::apply(ShardIndex index, const ShardRecord &record, RowRevision row)
{
    if (index.value() >= m_shards.size()) {
        return;
    }
    Shard &shard = m_shards[index.value()];
    if (row <= shard.row) {
        return;
    }
    shard.record = record;
    shard.row = row;
    noteOwnership(index);
}

void ShardManager::onJoined()
{
    for (std::uint32_t number = 0; number < m_shards.size(); ++number) {
        noteOwnership(ShardIndex(number));
    }
}

void ShardManager::tick()
{
    const SteadyTime now = m_clock.now();
    if (!m_commits.running() || now < m_nextScan) {
        return;
    }
    m_nextScan = now + ScanInterval;
    for (std::uint32_t number = 0; number < m_shards.size(); ++number) {
        const ShardIndex index(number);
        const Shard &shard = m_shards[number];
        const VmId &wanted = m_members.preferredOwner(index);
        if (shard.moving || wanted.value().empty()) {
            continue;
        }
        if (ownedByUs(shard)) {
            const MemberRecord *to = m_members.find(wanted);
            if (wanted != m_settings.vm && m_engine.shardIdle(index)) {
                handOver(index, *to);
            }
            continue;
        }
        const bool isFree = shard.record.owner.value().empty()
            || m_members.isGone(shard.record.owner, shard.record.fence);
        if (isFree && wanted == m_settings.vm) {
            claim(index);
        }
    }
    if (!m_gained.empty()) {
        m_engine.loadOpenPrograms(std::exchange(m_gained, {}));
    }
}

void ShardManager::claim(ShardIndex index)
{
    Shard &shard = m_shards[index.value()];
    shard.moving = true;
    const ShardRecord wanted{m_settings.vm, m_commits.fence(), shard.record.epoch + 1};
    CommitItem item;
    item.conditions.push_back({keys::shard(index), shard.row});
    const VmId &before = shard.record.owner;
    if (!before.value().empty() && before != m_settings.vm) {
        // The owner must still be gone when this commits: it may join again meanwhile.
        item.conditions.push_back({keys::member(before), m_members.rowRevisionOf(before)});
    }
    item.writes.push_back({keys::shard(index), encode(wanted)});
    item.done = [this, index, wanted](const CommitResult &result) {
        afterChange(index, wanted, result);
        m_takeovers += result.kind == CommitResult::Kind::Committed && wanted.epoch > 1 ? 1 : 0;
    };
    m_commits.enqueue(std::move(item));
}

void ShardManager::handOver(ShardIndex index, const MemberRecord &to)
{
    Shard &shard = m_shards[index.value()];
    shard.moving = true;
    m_engine.suspendShard(index);
    const ShardRecord wanted{to.vm, to.fence, shard.record.epoch + 1};
    CommitItem item;
    item.conditions.push_back({keys::shard(index), shard.row});
    item.writes.push_back({keys::shard(index), encode(wanted)});
    item.done = [this, index, wanted](const CommitResult &result) {
        afterChange(index, wanted, result);
    };
    m_commits.enqueue(std::move(item));
}

void ShardManager::afterChange(ShardIndex index, const ShardRecord &wanted,
                               const CommitResult &result)
{
    Shard &shard = m_shards[index.value()];
    shard.moving = false;
    if (result.kind == CommitResult::Kind::Committed) {
        apply(index, wanted, result.revision);
        return;
    }
    m_engine.resumeShard(index);
    const auto current = result.current.find(keys::shard(index));
    if (current == result.current.end()) {
        return;
    }
    const std::optional<ShardRecord> record = decodeShard(current->second.value);
    if (record.has_value()) {
        apply(index, *record, current->second.revision);
    }
}

void ShardManager::reset()
{
    for (Shard &shard : m_shards) {
        shard.moving = false;
    }
    m_owned.clear();
    m_gained.clear();
}

} // namespace boragepath
