// Removal of expired rows of programs, and of turns that were stored by VMs that died.

#include "control/program_record.h"
#include "control/row_sweeper.h"
#include "control/turn_rows.h"
#include "tests/support/memory_row_store.h"

#include <gtest/gtest.h>

namespace boragepath {

namespace {

constexpr Seconds TurnRetention{60};
/** Longest time in which one VM scans all partitions: 256 rounds of at most two minutes. */
constexpr Seconds ScanCycle{256 * 120};

class RowSweeperTest : public testing::Test
{
protected:
    RowSweeperTest()
        : timers(clock)
        , store(timers, 7)
        , vms(clock, self(), 7)
        , sweeper(
              clock, timers, store, vms, [] { return TurnRetention; }, 7)
    {
        sweeper.start();
    }

    static VmEntry self()
    {
        VmEntry entry;
        entry.vm = VmId("vm-1");
        return entry;
    }

    void putTurn(const std::string &id)
    {
        for (const RowPut &row : turnRows(AttemptId(id), std::string(120'000, 'x'), 0, 3)) {
            store.put(row.name, row.value);
        }
    }

    void useProgram(const std::string &id)
    {
        ProgramRecord record;
        record.spent = m_spent++;
        store.put(programRow(ProgramId(id)), encodeProgramRecord(record));
    }

    ManualClock clock;
    ManualTimers timers;
    MemoryRowStore store;
    VmDirectory vms;
    RowSweeper sweeper;

private:
    std::int64_t m_spent = 0;
};

} // namespace

TEST_F(RowSweeperTest, UnusedRowsAreRemoved)
{
    for (int index = 0; index < 60; ++index) {
        useProgram("program-" + std::to_string(index));
    }
    putTurn("turn");
    timers.run(ScanCycle * 3);
    EXPECT_TRUE(store.rows().empty());
    EXPECT_EQ(sweeper.removed(), 63U);
}

TEST_F(RowSweeperTest, TheRowOfAnActiveProgramIsKept)
{
    for (Seconds passed{0}; passed < ScanCycle * 3; passed += Seconds(1'800)) {
        useProgram("program");
        timers.run(Seconds(1'800));
        EXPECT_EQ(store.rows().size(), 1U);
    }
}

TEST_F(RowSweeperTest, ATurnIsKeptForAtLeastItsRetentionTime)
{
    // Independent of the times of the rounds, a turn is removed only after it was seen twice, at
    // least the retention time apart.
    for (int index = 0; index < 400; ++index) {
        const std::string id = "turn-" + std::to_string(index);
        putTurn(id);
        timers.run(TurnRetention);
        EXPECT_TRUE(store.rows().contains(turnRowNames(AttemptId(id), 1).front())) << id;
    }
}

TEST_F(RowSweeperTest, AnOutageRemovesNoRowAndSweepingContinuesAfterwards)
{
    useProgram("program");
    store.faults().unavailable = true;
    timers.run(ScanCycle * 2);
    EXPECT_EQ(store.rows().size(), 1U);
    store.faults().unavailable = false;
    timers.run(ScanCycle * 3);
    EXPECT_TRUE(store.rows().empty());
}

TEST_F(RowSweeperTest, OnlyPartitionsCoordinatedByThisVmAreSwept)
{
    VmEntry other;
    other.vm = VmId("vm-2");
    other.peers = {"10.0.0.2", 1};
    other.front = {"10.0.0.2", 2};
    for (int index = 0; index < 40; ++index) {
        useProgram("program-" + std::to_string(index));
    }
    peers::VmNews news;
    news.vm = "vm-2";
    news.front = other.front.text();
    news.peers = other.peers.text();
    news.incarnation = 1;
    for (Seconds passed{0}; passed < ScanCycle * 2; passed += Seconds(1)) {
        vms.receive(news);
        timers.run(Seconds(1));
    }
    EXPECT_GT(sweeper.removed(), 0U);
    EXPECT_LT(sweeper.removed(), 40U);
}

} // namespace boragepath
