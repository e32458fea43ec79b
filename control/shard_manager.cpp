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

bool ShardManager::ownedHere(const Shard &shard) const
{
    return m_commits.running() && shard.record.owner == m_settings.vm
        && shard.record.fence == m_commits.fence();
}

bool ShardManager::owns(ShardIndex index) const
{
    const Shard &shard = m_shards[index.value()];
    return ownedHere(shard) && !shard.changePending;
}

void ShardManager::updateOwnership(ShardIndex index)
{
    const bool before = m_owned.contains(index);
    const bool now = ownedHere(m_shards[index.value()]);
    if (now && !before) {
        m_owned.insert(index);
        m_newlyOwned.push_back(index);
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
    updateOwnership(index);
}

void ShardManager::onJoined()
{
    for (std::uint32_t number = 0; number < m_shards.size(); ++number) {
        updateOwnership(ShardIndex(number));
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
        const VmId &preferred = m_members.preferredOwner(index);
        if (shard.changePending || preferred.value().empty()) {
            continue;
        }
        if (ownedHere(shard)) {
            const MemberRecord *to = m_members.find(preferred);
            if (preferred != m_settings.vm && m_engine.shardIdle(index)) {
                handOver(index, *to);
            }
            continue;
        }
        const bool isFree = shard.record.owner.value().empty()
            || m_members.isGone(shard.record.owner, shard.record.fence);
        if (isFree && preferred == m_settings.vm) {
            claim(index);
        }
    }
    if (!m_newlyOwned.empty()) {
        m_engine.loadOpenPrograms(std::exchange(m_newlyOwned, {}));
    }
}

void ShardManager::claim(ShardIndex index)
{
    Shard &shard = m_shards[index.value()];
    shard.changePending = true;
    const ShardRecord newRecord{m_settings.vm, m_commits.fence(), shard.record.epoch + 1};
    CommitItem item;
    item.conditions.push_back({keys::shard(index), shard.row});
    const VmId &oldOwner = shard.record.owner;
    if (!oldOwner.value().empty() && oldOwner != m_settings.vm) {
        // The old owner may join again before this commits, so its member row must be unchanged.
        item.conditions.push_back({keys::member(oldOwner), m_members.rowRevisionOf(oldOwner)});
    }
    item.writes.push_back({keys::shard(index), encode(newRecord)});
    item.done = [this, index, newRecord](const CommitResult &result) {
        finishChange(index, newRecord, result);
        m_takeovers += result.kind == CommitResult::Kind::Committed && newRecord.epoch > 1 ? 1 : 0;
    };
    m_commits.enqueue(std::move(item));
}

void ShardManager::handOver(ShardIndex index, const MemberRecord &to)
{
    Shard &shard = m_shards[index.value()];
    shard.changePending = true;
    m_engine.suspendShard(index);
    const ShardRecord newRecord{to.vm, to.fence, shard.record.epoch + 1};
    CommitItem item;
    item.conditions.push_back({keys::shard(index), shard.row});
    item.writes.push_back({keys::shard(index), encode(newRecord)});
    item.done = [this, index, newRecord](const CommitResult &result) {
        finishChange(index, newRecord, result);
    };
    m_commits.enqueue(std::move(item));
}

void ShardManager::finishChange(ShardIndex index, const ShardRecord &newRecord,
                                const CommitResult &result)
{
    Shard &shard = m_shards[index.value()];
    shard.changePending = false;
    if (result.kind == CommitResult::Kind::Committed) {
        apply(index, newRecord, result.revision);
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
        shard.changePending = false;
    }
    m_owned.clear();
    m_newlyOwned.clear();
}

} // namespace boragepath
