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
    fleet.storeTurns();
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
    fleet.storeTurns();
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
    fleet.storeTurns();
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
    fleet.storeTurns();
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
    fleet.storeTurns();
    const std::size_t lender = fleet.lenderOf("p");
    ASSERT_EQ(fleet.reserveStored(lender, "p"), ReservationResult::Granted);
    fleet.settle(lender, "p", 100);
    fleet.timers.run(Seconds(2));
    fleet.setStoreAway(true);
    EXPECT_EQ(fleet.reserve(lender, "p", Seconds(2)), ReservationResult::StoreUnavailable);
}

// In an outage programs began with turns that are not stored, all VMs were killed as it ended, and
// stored turns of the same programs had whole budgets besides.
TEST(StoredTurnBudgets, WhatWasLentToANewProgramIsNotHandedOutOnceMoreAfterAllLendersAreLost)
{
    for (const Seconds outage : {Seconds(0), Seconds(2), Seconds(4), Seconds(7), Seconds(12)}) {
        SCOPED_TRACE(outage.count());
        LendingFleet fleet(3);
        fleet.storeTurns();
        fleet.setStoreAway(true);
        fleet.timers.run(outage);
        const std::size_t lender = fleet.lenderOf("p");
        for (int turn = 0; turn < 4; ++turn) {
            if (fleet.reserve(lender, "p") == ReservationResult::Granted) {
                fleet.settle(lender, "p", MaxTurnTokens);
            }
        }
        EXPECT_GE(fleet.grantedTokens["p"], MaxTurnTokens);
        fleet.crashTogether({0, 1, 2}, Seconds(1));
        fleet.setStoreAway(false);
        fleet.timers.run(Seconds(13));
        for (int turn = 0; turn < 6; ++turn) {
            const std::size_t vm = static_cast<std::size_t>(turn) % fleet.size();
            if (fleet.reserveStored(vm, "p", Seconds(2)) == ReservationResult::Granted) {
                fleet.settle(vm, "p", MaxTurnTokens);
            }
        }
        EXPECT_LE(fleet.grantedTokens["p"], Budget + MaxTurnTokens);
    }
}

// A store that says nothing of its clock, and rows of earlier versions, have no promises.
TEST(LendingPromises, AreReadAsTheyWereWritten)
{
    const PromiseRecord record{{-5, Milliseconds(70)}, {9, Milliseconds(80)}};
    EXPECT_EQ(decodePromises(encodePromises(record)), record);
    EXPECT_EQ(decodePromises("{\"promises\":[1]}"), std::nullopt);
    EXPECT_EQ(decodePromises("{\"promises\":[1,\"x\"]}"), std::nullopt);
    EXPECT_EQ(decodePromises("x"), std::nullopt);
}

// Earlier versions, which know of no promises, must take such a lender for a lost one.
TEST(LendingPromises, ALostLenderThatKeptItsPromiseIsALostOneForEarlierVersions)
{
    LenderTable table(LenderPartitions, LenderTenure{"vm-1/1", PreviousTenure::None, "", 3});
    LenderExceptions exceptions;
    exceptions.promised = {"vm-1/1"};
    replaceLostLenders(table, {"vm-2/1"}, exceptions);
    EXPECT_EQ(table.front().previous, PreviousTenure::OneTurnLent);
    const std::string text = encodeLenderTable(table);
    EXPECT_EQ(decodeLenderTable(text), table);
    const std::string lostNumber = std::to_string(static_cast<int>(PreviousTenure::Lost));
    EXPECT_NE(text.find("\"partitions\":[0," + lostNumber), std::string::npos);
}

// A VM that starts again later than others are back after a loss of power had promised, too.
TEST(LendingPromises, OutlastTheRestartOfAVm)
{
    for (const Milliseconds downTime : {Milliseconds(1'000), Milliseconds(3'500)}) {
        SCOPED_TRACE(downTime.count());
        LendingFleet fleet(3);
        fleet.storeTurns();
        fleet.crashTogether({0, 1, 2}, downTime);
        fleet.timers.run(Seconds(12));
        const std::size_t lender = fleet.currentLenderOf("p");
        ASSERT_LT(lender, fleet.size());
        EXPECT_EQ(fleet.vm(lender).lenders.authorityOver(ProgramId("p")),
                  BudgetAuthority::WholeOfStoredTurns);
    }
}

// The outage was longer than the promises, so that nobody can tell a new program from one that was
// lent to.
TEST(LendingPromises, SayNothingOfAnOutageThatOutlastsThem)
{
    LendingFleet fleet(3);
    fleet.storeTurns();
    fleet.setStoreAway(true);
    fleet.timers.run(Seconds(4));
    fleet.crashTogether({0, 1, 2}, Seconds(1));
    fleet.setStoreAway(false);
    fleet.timers.run(Seconds(12));
    const std::size_t lender = fleet.currentLenderOf("p");
    ASSERT_LT(lender, fleet.size());
    EXPECT_EQ(fleet.vm(lender).lenders.authorityOver(ProgramId("p")),
              BudgetAuthority::WholeOfStoredRows);
}

// A program that begins in an outage waits with its second turn; it isn't refused, and later ones
// don't wait.
TEST(LendingPromises, ANewProgramGetsOneTurnAtOnceAndTheNextOnesOnceThePromiseIsOver)
{
    LendingFleet fleet(3);
    fleet.storeTurns();
    fleet.setStoreAway(true);
    const std::size_t lender = fleet.lenderOf("p");
    EXPECT_EQ(fleet.reserve(lender, "p"), ReservationResult::Granted);
    fleet.settle(lender, "p", 200);
    EXPECT_EQ(fleet.reserve(lender, "p"), std::nullopt);
    fleet.timers.run(Seconds(4));
    EXPECT_EQ(fleet.reserve(lender, "p"), ReservationResult::Granted);
}

// A program under way has a row that says that it borrows, so that it needs no promise.
TEST(LendingPromises, AProgramUnderWayIsLentToAtOnce)
{
    LendingFleet fleet(3);
    fleet.storeTurns();
    const std::size_t lender = fleet.lenderOf("p");
    ASSERT_EQ(fleet.reserve(lender, "p"), ReservationResult::Granted);
    fleet.settle(lender, "p", 100);
    fleet.timers.run(Seconds(2));
    fleet.setStoreAway(true);
    for (int turn = 0; turn < 2; ++turn) {
        EXPECT_EQ(fleet.reserve(lender, "p"), ReservationResult::Granted);
        fleet.settle(lender, "p", 300);
    }
}

// With two of three VMs killed as an outage ended, programs exceeded their budgets as with all.
TEST(LendingPromises, WhatWasLentIsNotHandedOutOnceMoreAfterMostLendersAreLost)
{
    for (std::size_t survivor = 0; survivor < 3; ++survivor) {
        LendingFleet fleet(3);
        fleet.storeTurns();
        fleet.setStoreAway(true);
        fleet.timers.run(Seconds(6));
        const std::size_t lender = fleet.lenderOf("p");
        for (int turn = 0; turn < 4; ++turn) {
            if (fleet.reserve(lender, "p") == ReservationResult::Granted) {
                fleet.settle(lender, "p", MaxTurnTokens);
            }
        }
        fleet.crashTogether({(survivor + 1) % 3, (survivor + 2) % 3}, Seconds(1));
        fleet.setStoreAway(false);
        for (int turn = 0; turn < 12; ++turn) {
            const std::size_t vm = static_cast<std::size_t>(turn) % fleet.size();
            if (fleet.reserveStored(vm, "p", Seconds(2)) == ReservationResult::Granted) {
                fleet.settle(vm, "p", MaxTurnTokens);
            }
        }
        EXPECT_LE(fleet.grantedTokens["p"], Budget + MaxTurnTokens) << survivor;
    }
}

// A program that began while nobody had replaced the lost lenders had half of its budget for good.
TEST(LendingPromises, AProgramThatBeginsBeforeTheLostLendersAreReplacedHasItsWholeBudgetLater)
{
    LendingFleet fleet(3);
    fleet.storeTurns();
    fleet.crashTogether({0, 1, 2}, Seconds(1));
    EXPECT_EQ(fleet.reserveStored(0, "p"), ReservationResult::Granted);
    fleet.settle(0, "p", 500);
    EXPECT_EQ(fleet.record("p").turns, ProgramTurns::StoredUnconfirmed);
    fleet.timers.run(Seconds(12));
    const std::size_t lender = fleet.currentLenderOf("p");
    ASSERT_LT(lender, fleet.size());
    for (const std::int64_t used : {500, 200, 500}) {
        EXPECT_EQ(fleet.reserveStored(lender, "p"), ReservationResult::Granted);
        fleet.settle(lender, "p", used);
    }
}

// The store was back long before the promise was over, and the turn went on waiting.
TEST(LendingPromises, ATurnThatWaitsGoesOnOnceTheStoreIsBack)
{
    LendingFleet fleet(3);
    fleet.storeTurns();
    fleet.setStoreAway(true);
    const std::size_t lender = fleet.lenderOf("p");
    ASSERT_EQ(fleet.reserve(lender, "p"), ReservationResult::Granted);
    fleet.settle(lender, "p", 200);
    std::optional<ReservationResult> result;
    ReservationRequest request{ProgramId("p"), AttemptId("next"), Budget, MaxTurnTokens};
    request.mayBorrow = true;
    fleet.vm(lender).grants.reserve(request, fleet.clock.now() + Seconds(4),
                                    [&](ReservationResult answer) { result = answer; });
    fleet.timers.run(Milliseconds(300));
    EXPECT_EQ(result, std::nullopt);
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        fleet.vm(vm).store.isAway = false;
    }
    fleet.timers.run(Milliseconds(1'200));
    EXPECT_EQ(result, ReservationResult::Granted);
}

} // namespace boragepath
