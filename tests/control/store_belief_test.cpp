// What a VM believes of the store, by the answers that it gets.

#include "control/store_health.h"
#include "control/store_patience.h"
#include "tests/support/manual_clock.h"

#include <gtest/gtest.h>

namespace boragepath {

TEST(StorePatience, ALostAnswerCostsLittleMoreThanACall)
{
    StorePatience patience;
    for (int call = 0; call < 20; ++call) {
        patience.noteAnswer(Milliseconds(12));
    }
    EXPECT_EQ(patience.limit(), Milliseconds(150));
}

TEST(StorePatience, ASlowStoreGetsTheTimeItNeeds)
{
    StorePatience patience;
    patience.noteAnswer(Milliseconds(12));
    int silences = 0;
    while (patience.limit() < Milliseconds(750)) {
        patience.noteSilence();
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
    EXPECT_TRUE(health.away());
    EXPECT_TRUE(health.noteAnswer());
    EXPECT_FALSE(health.away());
}

TEST(StoreHealth, LostAnswersAreNoOutageWhileOthersArrive)
{
    ManualClock clock;
    StoreHealth health(clock);
    for (int loss = 0; loss < 10; ++loss) {
        health.noteSilence();
    }
    EXPECT_FALSE(health.away());
    {
        SCOPED_TRACE("silence that lasts is one");
        clock.advance(Seconds(1));
        EXPECT_TRUE(health.noteSilence());
    }
}

} // namespace boragepath
