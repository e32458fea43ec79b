#include "control/row_sweeper.h"

#include "control/program_record.h"
#include "control/turn_rows.h"
#include "core/logging.h"

#include <algorithm>

namespace boragepath {

namespace {

/** Partitions scanned in one round; eleven VMs scan all partitions once in about 35 minutes. */
constexpr int PartitionsPerRound = 4;
constexpr Milliseconds MinPause{60'000};
constexpr Milliseconds MaxPause{120'000};
/** A program may be idle this long, waiting for a tool, before its budget record is removed. */
constexpr Milliseconds ProgramRetention{3'600'000};
/** Added to the time for which turns are stored; longer than a delayed write may take. */
constexpr Milliseconds TurnRetentionMargin{60'000};
/** The platform limits a transaction to 100 entries, and each row takes two: its condition and its
 * removal. */
constexpr std::size_t MaxRowsPerTransaction = 45;

} // namespace

RowSweeper::RowSweeper(const Clock &clock, Timers &timers, RowStore &store, const VmDirectory &vms,
                       MaxTurnRetention maxTurnRetention, std::uint64_t seed)
    : m_clock(clock)
    , m_timers(timers)
    , m_store(store)
    , m_vms(vms)
    , m_maxTurnRetention(std::move(maxTurnRetention))
    , m_random(seed)
    , m_nextPartition(m_random() % StorePartitionCount)
{ }

void RowSweeper::start()
{
    scheduleRound();
}

void RowSweeper::scheduleRound()
{
    std::uniform_int_distribution<std::int64_t> pause(MinPause.count(), MaxPause.count());
    m_timers.after(Milliseconds(pause(m_random)), [this] {
        startRound();
        scheduleRound();
    });
}

void RowSweeper::startRound()
{
    int started = 0;
    for (std::uint64_t tried = 0; tried < StorePartitionCount && started < PartitionsPerRound;
         ++tried) {
        const std::string partition = partitionName(m_nextPartition);
        m_nextPartition = (m_nextPartition + 1) % StorePartitionCount;
        if (m_vms.coordinatorFor(partition).has_value()) {
            m_observed.erase({ProgramTable, partition});
            m_observed.erase({TurnTable, partition});
            continue;
        }
        scanPartition(ProgramTable, partition, ProgramRetention);
        scanPartition(TurnTable, partition, m_maxTurnRetention() + TurnRetentionMargin);
        started += 1;
    }
}

void RowSweeper::scanPartition(const std::string &table, const std::string &partition,
                               Duration retention)
{
    m_store.read({table, partition, "", ""},
                 [this, table, partition, retention](const ReadResult &result) {
                     // On a failure nothing is known about the rows; a later round scans the
                     // partition again.
                     if (result.answer == StoreAnswer::Done) {
                         removeExpired(m_observed[{table, partition}], result.rows, retention);
                     }
                 });
}

void RowSweeper::removeExpired(ObservedRows &observed, const std::vector<StoreRow> &rows,
                               Duration retention)
{
    const SteadyTime now = m_clock.now();
    ObservedRows current;
    std::vector<StoreRow> expired;
    for (const StoreRow &row : rows) {
        const auto previous = observed.find(row.name);
        const bool unchanged =
            previous != observed.end() && previous->second.version == row.version;
        const SteadyTime firstSeen = unchanged ? previous->second.firstSeen : now;
        if (now >= firstSeen + retention) {
            expired.push_back(row);
        } else {
            current[row.name] = {row.version, firstSeen};
        }
    }
    observed = std::move(current);
    removeRows(expired);
}

void RowSweeper::removeRows(const std::vector<StoreRow> &expired)
{
    if (expired.empty()) {
        return;
    }
    LogLine("sweep")
        .add("table", expired.front().name.table)
        .add("part", expired.front().name.partition)
        .add("rows", static_cast<std::int64_t>(expired.size()))
        .info();
    for (std::size_t start = 0; start < expired.size(); start += MaxRowsPerTransaction) {
        RowTransaction transaction;
        const std::size_t end = std::min(expired.size(), start + MaxRowsPerTransaction);
        for (std::size_t index = start; index < end; ++index) {
            const StoreRow &row = expired[index];
            // Keeps the row of a program that has continued since the scan.
            transaction.conditions.push_back({row.name, row.version});
            transaction.removals.push_back(row.name);
        }
        m_store.transact(std::move(transaction),
                         [this, rows = end - start](const TransactionResult &result) {
                             if (result.answer == StoreAnswer::Done) {
                                 m_removed += rows;
                             }
                         });
    }
}

} // namespace boragepath
