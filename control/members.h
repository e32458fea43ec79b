#pragma once

#include "control/records.h"
#include "core/ids.h"

#include <map>
#include <vector>

namespace boragepath {

/**
 * The VMs of the deployment, as listed in the table service.
 *
 * Rendezvous hashing over the live members chooses the preferred owner of each shard and the
 * permit server of each replica. The results are cached until the set of live members changes.
 */
class Members
{
public:
    Members(VmId self, std::uint32_t shardCount);

    /** Applies one member row unless it is outdated. True if the set of live members changed. */
    bool apply(const MemberRecord &record, RowRevision row);

    /** Null if the VM is unknown. */
    const MemberRecord *find(const VmId &vm) const;
    /** Revision of the VM's member row; 0 if the VM is unknown. */
    RowRevision rowRevisionOf(const VmId &vm) const;
    /** True if the row is of this incarnation and it is not gone, so it may still own shards. */
    bool isActive(const VmId &vm, FenceNumber fence) const;
    /**
     * True if this incarnation is known to have ended: the VM's row says that it is gone, or
     * belongs to a later incarnation. An incarnation that is later than the known row does not
     * count as gone, because this VM may not have read the newer row yet.
     */
    bool isGone(const VmId &vm, FenceNumber fence) const;
    const std::vector<VmId> &live() const { return m_live; }
    std::size_t liveCount() const { return m_live.size(); }
    /** All members, including those that are gone. */
    const std::map<VmId, MemberRecord> &all() const { return m_members; }

    /** The VM that should own a shard; empty if there is no live member. */
    const VmId &preferredOwner(ShardIndex shard) const;
    /** The VM that is the permit server of a replica; empty if there is no live member. */
    const VmId &permitServerOf(const ReplicaId &replica) const;

private:
    void recomputeOwners();
    VmId highestWeightMember(std::string_view item) const;

    VmId m_self;
    std::uint32_t m_shardCount;
    std::map<VmId, MemberRecord> m_members;
    std::map<VmId, RowRevision> m_rowRevisions;
    std::vector<VmId> m_live;
    std::vector<VmId> m_preferredOwners;
    mutable std::map<ReplicaId, VmId> m_permitServers;
};

} // namespace boragepath
