// Rows of programs and of lost VMs' turns do not stay for ever.

#include "control/program_record.h"
#include "control/row_sweeper.h"
#include "control/turn_rows.h"
#include "tests/support/memory_row_store.h"

#include <gtest/gtest.h>

namespace boragepath {

namespace {

constexpr Seconds TurnKeep{60};
/** One VM looks at all parts this often: 256 rounds of two minutes at most. */
constexpr Seconds Cycle{256 * 120};

class Sweeping : public testing::Test
{
protected:
    Sweeping()
        : timers(clock)
        , store(timers, 7)
        , vms(clock, self(), 7)
        , sweeper(
              clock, timers, store, vms, [] { return TurnKeep; }, 7)
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
        for (const RowPut &row : turnRows(AttemptId(id), std::string(120'000, 'x'))) {
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

TEST_F(Sweeping, RowsThatNobodyUsesAreRemoved)
{
    for (int index = 0; index < 60; ++index) {
        useProgram("program-" + std::to_string(index));
    }
    putTurn("turn");
    timers.run(Cycle * 3);
    EXPECT_TRUE(store.rows().empty());
    EXPECT_EQ(sweeper.removed(), 63U);
}

TEST_F(Sweeping, AProgramThatGoesOnKeepsItsRow)
{
    for (Seconds passed{0}; passed < Cycle * 3; passed += Seconds(1'800)) {
        useProgram("program");
        timers.run(Seconds(1'800));
        EXPECT_EQ(store.rows().size(), 1U);
    }
}

TEST_F(Sweeping, ATurnIsKeptAsLongAsItsRouteSays)
{
    // However the rounds fall, a turn is seen twice at least a keep time apart before it goes.
    for (int index = 0; index < 400; ++index) {
        const std::string id = "turn-" + std::to_string(index);
        putTurn(id);
        timers.run(TurnKeep);
        EXPECT_TRUE(store.rows().contains(turnRowNames(AttemptId(id), 1).front())) << id;
    }
}

TEST_F(Sweeping, AnOutageRemovesNothingAndEndsNothing)
{
    useProgram("program");
    store.faults().unavailable = true;
    timers.run(Cycle * 2);
    EXPECT_EQ(store.rows().size(), 1U);
    store.faults().unavailable = false;
    timers.run(Cycle * 3);
    EXPECT_TRUE(store.rows().empty());
}

TEST_F(Sweeping, PartsOfOtherVmsAreTheirs)
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
    for (Seconds passed{0}; passed < Cycle * 2; passed += Seconds(1)) {
        vms.hear(news);
        timers.run(Seconds(1));
    }
    EXPECT_GT(sweeper.removed(), 0U);
    EXPECT_LT(sweeper.removed(), 40U);
}

} // namespace boragepath
