#include "control/members.h"

#include "core/hash.h"

#include <absl/strings/str_cat.h>

namespace boragepath {

Members::Members(VmId self, std::uint32_t shardCount)
    : m_self(std::move(self))
    , m_shardCount(shardCount)
    , m_owners(shardCount)
{ }

bool Members::apply(const MemberRecord &record, RowRevision row)
{
    RowRevision &known = m_rows[record.vm];
    if (row <= known) {
        return false;
    }
    known = row;
    const auto before = m_members.find(record.vm);
    const bool wasLive = before != m_members.end() && before->second.state == MemberState::Live;
    m_members[record.vm] = record;
    const bool isLive = record.state == MemberState::Live;
    if (wasLive == isLive) {
        return false;
    }
    recompute();
    return true;
}

void Members::recompute()
{
    m_live.clear();
    for (const auto &[vm, member] : m_members) {
        if (member.state == MemberState::Live) {
            m_live.push_back(vm);
        }
    }
    m_permitServers.clear();
    for (std::uint32_t shard = 0; shard < m_shardCount; ++shard) {
        m_owners[shard] = winnerOf(absl::StrCat("shard/", shard));
    }
}

VmId Members::winnerOf(std::string_view item) const
{
    VmId winner;
    std::uint64_t bestWeight = 0;
    for (const VmId &vm : m_live) {
        const std::uint64_t weight = rendezvousWeight(item, vm.value());
        if (winner.value().empty() || weight > bestWeight) {
            winner = vm;
            bestWeight = weight;
        }
    }
    return winner;
}

const MemberRecord *Members::find(const VmId &vm) const
{
    const auto found = m_members.find(vm);
    return found == m_members.end() ? nullptr : &found->second;
}

RowRevision Members::rowRevisionOf(const VmId &vm) const
{
    const auto found = m_rows.find(vm);
    return found == m_rows.end() ? RowRevision() : found->second;
}

bool Members::holds(const VmId &vm, FenceNumber fence) const
{
    const MemberRecord *member = find(vm);
    return member != nullptr && member->fence == fence && member->state != MemberState::Gone;
}

bool Members::isGone(const VmId &vm, FenceNumber fence) const
{
    const MemberRecord *member = find(vm);
    if (member == nullptr) {
        return false;
    }
    return member->fence > fence || (member->fence == fence && member->state == MemberState::Gone);
}

const VmId &Members::preferredOwner(ShardIndex shard) const
{
    return m_owners[shard.value()];
}

const VmId &Members::permitServerOf(const ReplicaId &replica) const
{
    const auto found = m_permitServers.find(replica);
    if (found != m_permitServers.end()) {
        return found->second;
    }
    return m_permitServers[replica] = winnerOf(absl::StrCat("replica/", replica.value()));
}

} // namespace boragepath
