// What a VM believes of the store, by the answers that it gets.

#include "control/store_health.h"
#include "control/store_timeout.h"
#include "tests/support/manual_clock.h"

#include <gtest/gtest.h>

namespace boragepath {

TEST(StoreTimeout, ALostAnswerCostsLittleMoreThanACall)
{
    StoreTimeout patience;
    for (int call = 0; call < 20; ++call) {
        patience.noteAnswer(Milliseconds(12));
    }
    EXPECT_EQ(patience.limit(), Milliseconds(150));
}

TEST(StoreTimeout, ASlowStoreGetsTheTimeItNeeds)
{
    StoreTimeout patience;
    patience.noteAnswer(Milliseconds(12));
    int silences = 0;
    while (patience.limit() < Milliseconds(750)) {
        patience.noteTimeout();
        silences += 1;
    }
    EXPECT_LE(silences, 3);
    patience.noteAnswer(Milliseconds(750));
    EXPECT_EQ(patience.limit(), Milliseconds(1'500));
}

TEST(StoreHealth, RefusalsShowAnOutageAtOnce)
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

TEST(StoreHealth, LostAnswersAreNoOutageWhileOthersArrive)
{
    ManualClock clock;
    StoreHealth health(clock);
    for (int loss = 0; loss < 10; ++loss) {
        health.noteTimeout();
    }
    EXPECT_FALSE(health.unavailable());
    {
        SCOPED_TRACE("silence that lasts is one");
        clock.advance(Seconds(1));
        EXPECT_TRUE(health.noteTimeout());
    }
}

} // namespace boragepath
