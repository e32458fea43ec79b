// What a VM believes about the limits of replicas when answers arrive in any order.

#include "control/replica_limits.h"
#include "tests/support/manual_clock.h"

#include <gtest/gtest.h>

namespace boragepath {

namespace {

const ReplicaFingerprint Replica(7);

LimitStatement limited(double perSecond)
{
    return {LimitStatement::Kind::Limited, RequestRate(perSecond)};
}

} // namespace

TEST(ReplicaLimitsTest, LimitEndsWithANewerAnswerOnly)
{
    ManualClock clock;
    ReplicaLimits limits(clock);
    {
        SCOPED_TRACE("a replica that names no limit has none");
        EXPECT_FALSE(limits.noteAnswer(Replica, {}, clock.now()));
        EXPECT_FALSE(limits.any());
    }
    const SteadyTime sentBefore = clock.now();
    clock.advance(Milliseconds(100));
    {
        SCOPED_TRACE("it names a limit");
        EXPECT_TRUE(limits.noteAnswer(Replica, limited(4), sentBefore));
        EXPECT_EQ(limits.limitOf(Replica), RequestRate(4));
    }
    clock.advance(Milliseconds(100));
    {
        SCOPED_TRACE("an answer without it may have been written before");
        EXPECT_FALSE(limits.noteAnswer(Replica, {}, sentBefore));
        EXPECT_EQ(limits.limitOf(Replica), RequestRate(4));
    }
    {
        SCOPED_TRACE("an answer whose limit cannot be read says nothing");
        EXPECT_FALSE(limits.noteAnswer(Replica, {LimitStatement::Kind::Unreadable, RequestRate()},
                                       clock.now()));
        EXPECT_EQ(limits.limitOf(Replica), RequestRate(4));
    }
    {
        SCOPED_TRACE("an answer without it to a request that was sent later ends it");
        EXPECT_TRUE(limits.noteAnswer(Replica, {}, clock.now()));
        EXPECT_EQ(limits.limitOf(Replica), std::nullopt);
    }
    {
        SCOPED_TRACE("zero is a limit");
        clock.advance(Milliseconds(1));
        EXPECT_TRUE(limits.noteAnswer(Replica, limited(0), sentBefore));
        EXPECT_EQ(limits.limitOf(Replica), RequestRate(0));
    }
}

} // namespace boragepath
