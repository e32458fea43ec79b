// Failure detection and timeouts for calls to the store.

#include "control/store_health.h"
#include "control/store_timeout.h"
#include "tests/support/manual_clock.h"

#include <gtest/gtest.h>

namespace boragepath {

TEST(StoreTimeout, StaysShortWhileTheStoreAnswersFast)
{
    StoreTimeout timeout;
    for (int call = 0; call < 20; ++call) {
        timeout.noteAnswer(Milliseconds(12));
    }
    EXPECT_EQ(timeout.limit(), Milliseconds(150));
}

TEST(StoreTimeout, AdaptsToASlowStoreAfterAFewUnansweredCalls)
{
    StoreTimeout timeout;
    timeout.noteAnswer(Milliseconds(12));
    int timeouts = 0;
    while (timeout.limit() < Milliseconds(750)) {
        timeout.noteTimeout();
        timeouts += 1;
    }
    EXPECT_LE(timeouts, 3);
    timeout.noteAnswer(Milliseconds(750));
    EXPECT_EQ(timeout.limit(), Milliseconds(1'500));
}

TEST(StoreHealth, ConsecutiveRefusalsMarkTheStoreUnavailableUntilItAnswers)
{
    ManualClock clock;
    StoreHealth health(clock);
    EXPECT_FALSE(health.noteRefusal());
    EXPECT_FALSE(health.noteRefusal());
    EXPECT_TRUE(health.noteRefusal());
    EXPECT_TRUE(health.unavailable());
    EXPECT_TRUE(health.noteAnswer());
    EXPECT_FALSE(health.unavailable());
}

TEST(StoreHealth, UnansweredCallsMarkTheStoreUnavailableOnlyAfterASilence)
{
    ManualClock clock;
    StoreHealth health(clock);
    for (int call = 0; call < 10; ++call) {
        health.noteTimeout();
    }
    EXPECT_FALSE(health.unavailable());
    {
        SCOPED_TRACE("no answer for a whole second is an outage");
        clock.advance(Seconds(1));
        EXPECT_TRUE(health.noteTimeout());
    }
}

} // namespace boragepath
