#include "control/row_sweeper.h"

#include "control/program_record.h"
#include "control/turn_rows.h"
#include "core/logging.h"

#include <algorithm>

namespace boragepath {

namespace {

/** Parts looked at in one round; eleven VMs look at all parts once in about 35 minutes. */
constexpr int PartsAtOnce = 4;
constexpr Milliseconds ShortestPause{60'000};
constexpr Milliseconds LongestPause{120'000};
/** A program may pause this long for a tool before its budget is forgotten. */
constexpr Milliseconds ProgramKeep{3'600'000};
/** Beyond the time that turns are kept: longer than a late write may take. */
constexpr Milliseconds TurnKeepMargin{60'000};
/** The platform's limit of a transaction is 100 entries; conditions count too. */
constexpr std::size_t MaxRowsAtOnce = 45;

} // namespace

RowSweeper::RowSweeper(const Clock &clock, Timers &timers, RowStore &store, const VmDirectory &vms,
                       LongestKeep longestKeep, std::uint64_t seed)
    : m_clock(clock)
    , m_timers(timers)
    , m_store(store)
    , m_vms(vms)
    , m_longestKeep(std::move(longestKeep))
    , m_random(seed)
    , m_nextPart(m_random() % StorePartitionCount)
{ }

void RowSweeper::start()
{
    planRound();
}

void RowSweeper::planRound()
{
    std::uniform_int_distribution<std::int64_t> pause(ShortestPause.count(), LongestPause.count());
    m_timers.after(Milliseconds(pause(m_random)), [this] {
        beginRound();
        planRound();
    });
}

void RowSweeper::beginRound()
{
    int begun = 0;
    for (std::uint64_t tried = 0; tried < StorePartitionCount && begun < PartsAtOnce; ++tried) {
        const std::string partition = partitionName(m_nextPart);
        m_nextPart = (m_nextPart + 1) % StorePartitionCount;
        if (m_vms.coordinatorFor(partition).has_value()) {
            m_sightings.erase({ProgramTable, partition});
            m_sightings.erase({TurnTable, partition});
            continue;
        }
        look(ProgramTable, partition, ProgramKeep);
        look(TurnTable, partition, m_longestKeep() + TurnKeepMargin);
        begun += 1;
    }
}

void RowSweeper::look(const std::string &table, const std::string &partition, Duration keep)
{
    m_store.read({table, partition, "", ""},
                 [this, table, partition, keep](const ReadResult &result) {
                     // Without an answer nothing is known; the part's turn comes again.
                     if (result.answer == StoreAnswer::Done) {
                         compare(m_sightings[{table, partition}], result.rows, keep);
                     }
                 });
}

void RowSweeper::compare(Sightings &sightings, const std::vector<StoreRow> &rows, Duration keep)
{
    const SteadyTime now = m_clock.now();
    Sightings current;
    std::vector<StoreRow> expired;
    for (const StoreRow &row : rows) {
        const auto before = sightings.find(row.name);
        const bool unchanged = before != sightings.end() && before->second.version == row.version;
        const SteadyTime firstAt = unchanged ? before->second.firstAt : now;
        if (now >= firstAt + keep) {
            expired.push_back(row);
        } else {
            current[row.name] = {row.version, firstAt};
        }
    }
    sightings = std::move(current);
    remove(expired);
}

void RowSweeper::remove(const std::vector<StoreRow> &expired)
{
    if (expired.empty()) {
        return;
    }
    LogLine("sweep")
        .add("table", expired.front().name.table)
        .add("part", expired.front().name.partition)
        .add("rows", static_cast<std::int64_t>(expired.size()))
        .info();
    for (std::size_t start = 0; start < expired.size(); start += MaxRowsAtOnce) {
        RowTransaction transaction;
        const std::size_t end = std::min(expired.size(), start + MaxRowsAtOnce);
        for (std::size_t index = start; index < end; ++index) {
            const StoreRow &row = expired[index];
            // A program that goes on at this moment keeps its row.
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
