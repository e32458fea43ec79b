// Budgets of programs whose turns the store keeps. Such turns don't end without the store, so that
// they are never lent for.
//
// Guards against turns that are refused for tokens that nobody can have used.

#include "tests/support/lending_fleet.h"

#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

#include <vector>

namespace boragepath {

// After all VMs were killed, programs that began later got 503 for all turns once they had used
// half of their budget, though turns that the store keeps are never lent for.
TEST(StoredTurnBudgets, StoredTurnsHaveWholeBudgetsAfterAllLendersAreLost)
{
    LendingFleet fleet(3);
    fleet.crashTogether({0, 1, 2}, Seconds(2));
    fleet.timers.run(Seconds(12));
    for (int number = 0; number < 8; ++number) {
        const std::string program = absl::StrCat("program-", number);
        const std::size_t lender = fleet.currentLenderOf(program);
        ASSERT_LT(lender, fleet.size());
        for (const std::int64_t used : {500, 500, 200}) {
            EXPECT_EQ(fleet.reserveStored(lender, program), ReservationResult::Granted) << number;
            fleet.settle(lender, program, used);
        }
        EXPECT_EQ(fleet.reserveStored(lender, program), ReservationResult::Granted) << number;
    }
}

// The grant of a killed VM counts as used. It covered four turns or half of what was left, so that
// programs that need most of their budgets were refused all turns after one kill.
TEST(StoredTurnBudgets, AVmThatIsLostTakesLittleMoreThanItsStoredTurnsUnderWay)
{
    LendingFleet fleet(3);
    const std::size_t lender = fleet.lenderOf("p");
    ASSERT_EQ(fleet.reserveStored(lender, "p"), ReservationResult::Granted);
    fleet.settle(lender, "p", 100);
    ASSERT_EQ(fleet.reserveStored(lender, "p"), ReservationResult::Granted);
    fleet.crash(lender);
    fleet.timers.run(FeedTime);
    EXPECT_LE(committedTokens(fleet.record("p")),
              100 + MaxTurnTokens + (Budget - MaxTurnTokens) / 8);
    const std::size_t next = fleet.lenderOf("p");
    for (const std::int64_t used : {400, 100}) {
        EXPECT_EQ(fleet.reserveStored(next, "p"), ReservationResult::Granted);
        fleet.settle(next, "p", used);
    }
}

// A lender that is lost for good is replaced after some ten seconds. Until then the stored turns of
// its programs got 503 once half of their budget was used.
TEST(StoredTurnBudgets, StoredTurnsHaveWholeBudgetsWhileTheirLenderCanNotBeHeard)
{
    LendingFleet fleet(3);
    const std::size_t lender = fleet.lenderOf("p");
    const std::size_t other = (lender + 1) % fleet.size();
    fleet.cutOff.insert(fleet.vm(lender).vms.self().vm);
    fleet.vm(lender).store.isAway = true;
    fleet.timers.run(Seconds(4));
    for (const std::int64_t used : {500, 500, 200, 500}) {
        EXPECT_EQ(fleet.reserveStored(other, "p"), ReservationResult::Granted);
        fleet.settle(other, "p", used);
    }
    EXPECT_EQ(fleet.record("p").restrictedSpent, 0);
}

TEST(StoredTurnBudgets, OtherTurnsHaveTheOtherPartAfterAllLendersAreLost)
{
    const std::int64_t restricted = splitBudget(Budget, MaxTurnTokens).restricted;
    LendingFleet fleet(3);
    fleet.crashTogether({0, 1, 2}, Seconds(2));
    fleet.timers.run(Seconds(12));
    const auto runTurns = [&](const std::string &program, const std::vector<bool> &areStored) {
        std::int64_t used = 0;
        const std::size_t lender = fleet.currentLenderOf(program);
        for (const bool isStored : areStored) {
            const bool runs = fleet.reserve(lender, program, Milliseconds(200), isStored)
                == ReservationResult::Granted;
            fleet.settle(lender, program, MaxTurnTokens);
            used += runs ? MaxTurnTokens : 0;
        }
        return used;
    };
    EXPECT_LE(runTurns("none", {false, false, false, false}), restricted);
    EXPECT_LE(runTurns("the first one", {false, true, true, true}), restricted);
    EXPECT_EQ(runTurns("none of them", {true, true, true, true}), Budget);
    EXPECT_LE(runTurns("the last ones", {true, true, false, false}), Budget);
}

// A successor that does not know what was lent may reserve the whole budget of such a program.
TEST(StoredTurnBudgets, NothingIsLentToAProgramWhoseTurnsAreStored)
{
    LendingFleet fleet(3);
    const std::size_t lender = fleet.lenderOf("p");
    ASSERT_EQ(fleet.reserveStored(lender, "p"), ReservationResult::Granted);
    fleet.settle(lender, "p", 100);
    fleet.timers.run(Seconds(2));
    fleet.setStoreAway(true);
    EXPECT_EQ(fleet.reserve(lender, "p", Seconds(2)), ReservationResult::StoreUnavailable);
}

} // namespace boragepath
