#pragma once

#include "control/records.h"
#include "core/ids.h"

#include <map>
#include <vector>

namespace boragepath {

/**
 * The VMs of the deployment as the table service lists them.
 *
 * Decides by rendezvous hash who should own a shard and who is the gatekeeper
 * of a replica. Only live members count; the results are kept until the
 * membership changes.
 */
class Members
{
public:
    Members(VmId self, std::uint32_t shardCount);

    /** Takes over one row; true if the set of live members changed. */
    bool apply(const MemberRecord &record, RowRevision row);

    const MemberRecord *find(const VmId &vm) const;
    RowRevision rowRevisionOf(const VmId &vm) const;
    /** True if this incarnation may still own something. */
    bool holds(const VmId &vm, FenceNumber fence) const;
    /**
     * True if this incarnation is known to have ended: its VM's row says so, or
     * belongs to a later incarnation. An incarnation later than the row known
     * here is not gone; this VM just has not heard of it yet.
     */
    bool isGone(const VmId &vm, FenceNumber fence) const;
    const std::vector<VmId> &live() const { return m_live; }
    std::size_t liveCount() const { return m_live.size(); }
    /** All members, gone ones too. */
    const std::map<VmId, MemberRecord> &all() const { return m_members; }

    /** Who should own a shard; empty if there is no live member. */
    const VmId &preferredOwner(ShardIndex shard) const;
    /** Who is the gatekeeper of a replica; empty if there is no live member. */
    const VmId &permitServerOf(const ReplicaId &replica) const;

private:
    void recompute();
    VmId winnerOf(std::string_view item) const;

    VmId m_self;
    std::uint32_t m_shardCount;
    std::map<VmId, MemberRecord> m_members;
    std::map<VmId, RowRevision> m_rows;
    std::vector<VmId> m_live;
    std::vector<VmId> m_owners;
    mutable std::map<ReplicaId, VmId> m_permitServers;
};

} // namespace boragepath
