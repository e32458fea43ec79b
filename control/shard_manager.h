#pragma once

#include "control/call_engine.h"
#include "control/commit_queue.h"
#include "control/members.h"
#include "control/records.h"

#include <set>
#include <vector>

namespace boragepath {

/**
 * Knows who owns each shard, takes over what lies free, hands over what
 * another VM should have.
 *
 * A shard changes hands only through its row: by the old owner's own commit
 * chain, or by a condition on the row after the old owner was fenced or left.
 */
class ShardManager
{
public:
    ShardManager(const Settings &settings, const Clock &clock, CommitQueue &commits,
                 const Members &members, CallEngine &engine);

    /** Takes over one row of the table service. */
    void apply(ShardIndex shard, const ShardRecord &record, RowRevision row);
    /** Takes note of shards that were given to this incarnation before it knew that it had joined.
     */
    void onJoined();
    /** Claims and hands over what is due. */
    void tick();
    /** Forgets what this incarnation owned. */
    void reset();

    /** True if calls of the shard may be taken here. */
    bool owns(ShardIndex shard) const;
    /** The row of a shard; without an owner if there is none yet. */
    const ShardRecord &recordOf(ShardIndex shard) const { return m_shards[shard.value()].record; }
    std::size_t ownedCount() const { return m_owned.size(); }
    /** Shards taken over from VMs that are gone, for metrics. */
    std::uint64_t takeovers() const { return m_takeovers; }

private:
    struct Shard
    {
        ShardRecord record;
        RowRevision row;
        /** A change of this VM is on its way. */
        bool moving = false;
    };

    bool ownedByUs(const Shard &shard) const;
    void claim(ShardIndex index);
    void handOver(ShardIndex index, const MemberRecord &to);
    void afterChange(ShardIndex index, const ShardRecord &wanted, const CommitResult &result);
    void noteOwnership(ShardIndex index);

    const Settings &m_settings;
    const Clock &m_clock;
    CommitQueue &m_commits;
    const Members &m_members;
    CallEngine &m_engine;
    std::vector<Shard> m_shards;
    std::set<ShardIndex> m_owned;
    std::vector<ShardIndex> m_gained;
    SteadyTime m_nextScan;
    std::uint64_t m_takeovers = 0;
};

} // namespace boragepath
