// Token budgets of programs, kept by conditions on rows of the store.

#include "control/program_ledger.h"
#include "tests/support/memory_row_store.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <absl/strings/str_cat.h>

#include <optional>

namespace boragepath {

namespace {

constexpr Seconds Patience{1};

/** One store and the ledgers of several VMs. */
class Fleet
{
public:
    explicit Fleet(std::size_t vms, std::uint64_t seed = 7)
        : timers(clock)
        , store(timers, seed)
    {
        for (std::size_t vm = 0; vm < vms; ++vm) {
            healths.push_back(std::make_unique<StoreHealth>(clock));
            ledgers.push_back(
                std::make_unique<ProgramLedger>(clock, timers, store, *healths.back(), seed + vm));
        }
    }

    ReservationResult reserve(std::size_t vm, const std::string &turn, std::int64_t budget,
                              std::int64_t most)
    {
        std::optional<ReservationResult> result;
        ledgers[vm]->reserve({ProgramId("program"), AttemptId(turn), budget, most},
                             clock.now() + Patience,
                             [&](ReservationResult answer) { result = answer; });
        timers.run(Seconds(4));
        return result.value();
    }

    void settle(std::size_t vm, const std::string &turn, std::int64_t tokens)
    {
        ledgers[vm]->settle({ProgramId("program"), AttemptId(turn), tokens});
        timers.run(Seconds(20));
    }

    ProgramRecord record() const
    {
        const auto found = store.rows().find(programRow(ProgramId("program")));
        return found == store.rows().end() ? ProgramRecord()
                                           : decodeProgramRecord(found->second.value).value();
    }

    ManualClock clock;
    ManualTimers timers;
    MemoryRowStore store;
    std::vector<std::unique_ptr<StoreHealth>> healths;
    std::vector<std::unique_ptr<ProgramLedger>> ledgers;
};

} // namespace

TEST(ProgramLedger, ABudgetHoldsAcrossVms)
{
    Fleet fleet(2);
    {
        SCOPED_TRACE("two VMs reserve for the same program");
        EXPECT_EQ(fleet.reserve(0, "a", 1'000, 400), ReservationResult::Granted);
        EXPECT_EQ(fleet.reserve(1, "b", 1'000, 400), ReservationResult::Granted);
    }
    {
        SCOPED_TRACE("a third turn at its most would pass the budget");
        EXPECT_EQ(fleet.reserve(0, "c", 1'000, 400), ReservationResult::BudgetExhausted);
    }
    {
        SCOPED_TRACE("what a turn did not use is there for the next one, also elsewhere");
        fleet.settle(1, "b", 100);
        EXPECT_EQ(fleet.reserve(0, "c", 1'000, 400), ReservationResult::Granted);
        EXPECT_EQ(fleet.record().spent, 100);
    }
}

TEST(ProgramLedger, ASettlementGoesWithTheNextTurn)
{
    Fleet fleet(1);
    fleet.reserve(0, "a", 10'000, 400);
    const int before = fleet.store.transactions();
    fleet.ledgers[0]->settle({ProgramId("program"), AttemptId("a"), 100});
    EXPECT_EQ(fleet.reserve(0, "b", 10'000, 400), ReservationResult::Granted);
    EXPECT_EQ(fleet.store.transactions(), before + 1);
    EXPECT_EQ(fleet.record().spent, 100);
}

TEST(ProgramLedger, AnOutageRefusesAtOnceAndKeepsWhatIsOwed)
{
    Fleet fleet(1);
    fleet.reserve(0, "a", 10'000, 400);
    fleet.store.faults().unavailable = true;
    {
        SCOPED_TRACE("calls that go unanswered show that the store is away");
        for (int call = 0; call < 3; ++call) {
            fleet.healths[0]->noteRefusal();
        }
        std::optional<ReservationResult> result;
        fleet.ledgers[0]->reserve({ProgramId("other"), AttemptId("x"), 100, 10},
                                  fleet.clock.now() + Patience,
                                  [&](ReservationResult answer) { result = answer; });
        EXPECT_EQ(result, ReservationResult::StoreUnavailable);
    }
    {
        SCOPED_TRACE("a settlement waits and is made when the store is back");
        fleet.ledgers[0]->settle({ProgramId("program"), AttemptId("a"), 123});
        fleet.timers.run(Seconds(6));
        EXPECT_EQ(fleet.ledgers[0]->pending(), 1U);
        fleet.store.faults().unavailable = false;
        fleet.timers.run(Seconds(4));
        EXPECT_EQ(fleet.ledgers[0]->pending(), 0U);
        EXPECT_EQ(fleet.record().spent, 123);
        EXPECT_TRUE(fleet.record().reserved.empty());
    }
}

TEST(ProgramLedger, AReservationThatCameTooLateIsGivenBack)
{
    Fleet fleet(1);
    fleet.store.faults().late = 1;
    EXPECT_EQ(fleet.reserve(0, "a", 1'000, 400), ReservationResult::StoreUnavailable);
    fleet.store.faults().late = 0;
    fleet.timers.run(Seconds(15));
    EXPECT_TRUE(fleet.record().reserved.empty());
    EXPECT_EQ(fleet.record().spent, 0);
}

/**
 * Several VMs serve turns of one program while the store refuses calls, loses
 * answers and applies writes seconds late, and VMs die between any two steps.
 */
RC_GTEST_PROP(ProgramLedgerProperty, HandedOutTokensNeverPassTheBudget, (std::uint64_t seed))
{
    constexpr std::int64_t Budget = 2'000;
    constexpr std::int64_t Most = 300;
    std::mt19937_64 random(seed);
    Fleet fleet(3, seed);
    fleet.store.faults() = {0.2, 0.2, 0.2, false};
    std::int64_t handedOut = 0;
    std::int64_t handedOutByDead = 0;
    std::vector<bool> dead(3, false);
    int open = 0;
    for (int turn = 0; turn < 40; ++turn) {
        const std::size_t vm = random() % 3;
        if (dead[vm]) {
            continue;
        }
        if (random() % 20 == 0) {
            // Its callbacks never come: the ledger goes on, but nobody serves its turns.
            dead[vm] = true;
            continue;
        }
        const auto tokens = static_cast<std::int64_t>(random() % (Most + 1));
        const AttemptId id(absl::StrCat("turn-", turn));
        open += 1;
        fleet.ledgers[vm]->reserve(
            {ProgramId("program"), id, Budget, Most}, fleet.clock.now() + Patience,
            [&, vm, id, tokens](ReservationResult answer) {
                open -= 1;
                if (answer != ReservationResult::Granted) {
                    return;
                }
                handedOut += tokens;
                if (dead[vm]) {
                    handedOutByDead += tokens;
                    return;
                }
                fleet.ledgers[vm]->settle({ProgramId("program"), id, tokens});
            });
        fleet.timers.run(Milliseconds(random() % 300));
        RC_ASSERT(handedOut <= Budget);
    }
    fleet.store.faults() = {};
    fleet.timers.run(Seconds(60));
    RC_ASSERT(open == 0);
    RC_ASSERT(handedOut <= Budget);
    const ProgramRecord record = fleet.record();
    // Every turn that lived is settled once; turns of dead VMs stay reserved at their most.
    RC_ASSERT(record.spent == handedOut - handedOutByDead);
    RC_ASSERT(committedTokens(record) <= Budget);
}

RC_GTEST_PROP(ProgramRecordProperty, RecordsComeBackAsTheyWere,
              (std::int64_t spent, std::map<std::uint32_t, std::uint32_t> reserved))
{
    ProgramRecord record;
    record.spent = spent;
    for (const auto &[turn, most] : reserved) {
        record.reserved[AttemptId(absl::StrCat("turn-", turn))] = most;
        record.settled.emplace_back(absl::StrCat("ended-", turn));
    }
    RC_ASSERT(decodeProgramRecord(encodeProgramRecord(record)) == record);
}

} // namespace boragepath
