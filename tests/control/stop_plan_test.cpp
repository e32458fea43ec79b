// Which calls a VM that stops as planned passes on to replicas.
//
// A VM passed calls on until its process ended, and cut those without an answer that had come late
// in the grace, among them such as may run only once.

#include "control/drain/stop_plan.h"

#include <gtest/gtest.h>

namespace boragepath {

namespace {

const SteadyTime Start = SteadyTime(Seconds(1'000));

/** True if a call with @p timeLeft is passed on that long after the stop began. */
bool passesOn(Milliseconds grace, Milliseconds sinceStart, Milliseconds timeLeft)
{
    const SteadyTime now = Start + sinceStart;
    return mayPassOn(planStop(Start, grace), now, now + timeLeft);
}

} // namespace

TEST(StopPlan, CallsThatEndBeforeTheStopArePassedOnUntilLateInTheGrace)
{
    EXPECT_TRUE(passesOn(Seconds(8), Milliseconds(3'200), Milliseconds(3'500)));
    EXPECT_TRUE(passesOn(Seconds(8), Milliseconds(6'500), Milliseconds(500)));
    EXPECT_TRUE(passesOn(Seconds(30), Seconds(20), Seconds(9)));
}

TEST(StopPlan, LateCallsThatMayOutlastTheStopAreNotPassedOn)
{
    EXPECT_FALSE(passesOn(Seconds(8), Milliseconds(3'200), Milliseconds(4'000)));
    EXPECT_FALSE(passesOn(Seconds(8), Milliseconds(7'100), Milliseconds(1)));
    EXPECT_FALSE(passesOn(Seconds(30), Seconds(4), Seconds(30)));
    EXPECT_FALSE(passesOn(Seconds(2), Milliseconds(1'500), Seconds(1)));
}

// Callers use an address for up to 3 s after it was withdrawn. A refusal of all of their long calls
// would cost them a retry, though nearly all of these calls end in time.
TEST(StopPlan, CallsOfCallersThatStillUseTheAddressArePassedOnWhateverTheirDeadlines)
{
    EXPECT_TRUE(passesOn(Seconds(8), Milliseconds(0), Seconds(30)));
    EXPECT_TRUE(passesOn(Seconds(8), Milliseconds(2'800), Seconds(30)));
    EXPECT_TRUE(passesOn(Seconds(2), Milliseconds(900), Seconds(30)));
    EXPECT_FALSE(passesOn(Seconds(2), Milliseconds(1'100), Seconds(30)));
}

// A call that was taken early may use at least five sixths of the grace, however short the grace.
TEST(StopPlan, CallsAreBrokenOffInTheLastSixthOfTheGraceAndTheProcessEndsBeforeTheGraceDoes)
{
    constexpr int Sixth = 6;
    for (const Milliseconds grace : {Milliseconds(500), Milliseconds(2'000), Milliseconds(5'000),
                                     Milliseconds(8'000), Milliseconds(30'000)}) {
        SCOPED_TRACE(grace.count());
        const StopPlan plan = planStop(Start, grace);
        EXPECT_GE(plan.callsEnd, Start + grace - grace / Sixth);
        EXPECT_LT(plan.callsEnd, plan.processEnd);
        EXPECT_LT(plan.processEnd, Start + grace);
        EXPECT_LT(plan.acceptsAllUntil, plan.callsEnd);
    }
}

TEST(StopPlan, AGraceOfNothingPassesNothingOn)
{
    EXPECT_FALSE(passesOn(Milliseconds(0), Milliseconds(0), Milliseconds(1)));
    EXPECT_FALSE(passesOn(Milliseconds(-5), Milliseconds(0), Milliseconds(1)));
}

} // namespace boragepath
