#pragma once

#include "control/call_engine.h"
#include "control/commit_queue.h"
#include "control/members.h"
#include "control/records.h"

#include <set>
#include <vector>

namespace boragepath {

/**
 * Tracks the owner of every shard, claims shards without an owner, and hands shards over to
 * their preferred owner.
 *
 * Ownership changes only through the shard's row. Either the old owner writes the row in its own
 * commit chain, or, after the old owner was fenced or left, the new owner writes it on condition
 * that the row is unchanged.
 */
class ShardManager
{
public:
    ShardManager(const Settings &settings, const Clock &clock, CommitQueue &commits,
                 const Members &members, CallEngine &engine);

    /** Applies one shard row unless it is outdated. */
    void apply(ShardIndex shard, const ShardRecord &record, RowRevision row);
    /**
     * Updates the set of owned shards. Another VM may have handed shards to this incarnation
     * before it knew that its join had succeeded.
     */
    void onJoined();
    /** Claims free shards and hands over idle ones that another VM should own. */
    void tick();
    /** Forgets the owned shards of an incarnation that has ended. */
    void reset();

    /** True if this VM may accept calls for the shard. */
    bool owns(ShardIndex shard) const;
    /** The row of a shard. Its owner is empty if the row does not exist yet. */
    const ShardRecord &recordOf(ShardIndex shard) const { return m_shards[shard.value()].record; }
    std::size_t ownedCount() const { return m_owned.size(); }
    /** Number of shards taken over from VMs that are gone, for metrics. */
    std::uint64_t takeovers() const { return m_takeovers; }

private:
    struct Shard
    {
        ShardRecord record;
        RowRevision row;
        /** A write of the row by this VM has not completed yet. */
        bool changePending = false;
    };

    bool ownedHere(const Shard &shard) const;
    /** Takes over a shard without an owner. */
    void claim(ShardIndex index);
    void handOver(ShardIndex index, const MemberRecord &to);
    /** Applies the result of a claim or a hand-over. */
    void finishChange(ShardIndex index, const ShardRecord &newRecord, const CommitResult &result);
    /** Compares the row with the set of owned shards, and notes a gain or a loss. */
    void updateOwnership(ShardIndex index);

    const Settings &m_settings;
    const Clock &m_clock;
    CommitQueue &m_commits;
    const Members &m_members;
    CallEngine &m_engine;
    std::vector<Shard> m_shards;
    std::set<ShardIndex> m_owned;
    /** Shards whose open programs the call engine has not loaded yet. */
    std::vector<ShardIndex> m_newlyOwned;
    SteadyTime m_nextScan;
    std::uint64_t m_takeovers = 0;
};

} // namespace boragepath
