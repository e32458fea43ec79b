// Who may take a shard, as one VM sees it.

#include "tests/support/simulated_cluster.h"

#include <gtest/gtest.h>

namespace boragepath {

namespace {

/** A VM in a store that a test fills with the rows of another one. */
class ShardManagerTest : public testing::Test
{
protected:
    ShardManagerTest()
        : m_cluster(1, 1)
    { }

    void put(const std::string &key, const std::string &value)
    {
        Transaction transaction;
        transaction.writes.push_back({key, value});
        m_cluster.store().apply(transaction);
    }

    void putMember(FenceNumber fence, MemberState state)
    {
        MemberRecord member;
        member.vm = VmId("vm-9");
        member.fence = fence;
        member.state = state;
        member.zone = ZoneId("zone");
        member.callers = {"127.0.0.9", 1};
        member.peers = {"127.0.0.9", 2};
        put(keys::member(member.vm), encode(member));
    }

    void putShard(FenceNumber fence)
    {
        put(keys::shard(ShardIndex(3)), encode(ShardRecord{VmId("vm-9"), fence, 1}));
    }

    VmId ownerOfShard()
    {
        return decodeShard(*m_cluster.store().valueOf(keys::shard(ShardIndex(3))))->owner;
    }

    SimulatedCluster m_cluster;
};

} // namespace

TEST_F(ShardManagerTest, TakesTheShardOfAnIncarnationThatIsGone)
{
    putMember(FenceNumber(100), MemberState::Gone);
    putShard(FenceNumber(100));
    m_cluster.start(0);
    m_cluster.run(Seconds(5));
    EXPECT_EQ(ownerOfShard(), VmId("vm-1"));
}

TEST_F(ShardManagerTest, TakesTheShardOfAnEarlierIncarnation)
{
    putMember(FenceNumber(101), MemberState::Gone);
    putShard(FenceNumber(100));
    m_cluster.start(0);
    m_cluster.run(Seconds(5));
    EXPECT_EQ(ownerOfShard(), VmId("vm-1"));
}

TEST_F(ShardManagerTest, LeavesTheShardOfAnIncarnationThatItHasNotHeardOf)
{
    {
        SCOPED_TRACE("the row of the VM is older than the shard's owner");
        putMember(FenceNumber(100), MemberState::Gone);
        putShard(FenceNumber(101));
    }
    m_cluster.start(0);
    m_cluster.run(Seconds(5));
    EXPECT_EQ(ownerOfShard(), VmId("vm-9"));
}

TEST_F(ShardManagerTest, LeavesTheShardOfALiveOwnerThatOnlyWentSilent)
{
    putMember(FenceNumber(100), MemberState::Live);
    putShard(FenceNumber(100));
    put(keys::vm(VmId("vm-9")), encode(VmRecord{FenceNumber(100), 1, false}));
    m_cluster.start(0);
    m_cluster.run(Milliseconds(2'500));
    EXPECT_EQ(ownerOfShard(), VmId("vm-9"));
    {
        SCOPED_TRACE("once its row has not changed for long enough it is fenced");
        m_cluster.run(Seconds(10));
        EXPECT_EQ(ownerOfShard(), VmId("vm-1"));
    }
}

} // namespace boragepath
