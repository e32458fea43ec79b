#pragma once

#include "control/commit_queue.h"
#include "control/records.h"
#include "core/clock.h"

#include <map>
#include <set>

namespace boragepath {

/** Length of the windows in which programs are counted. */
constexpr std::chrono::minutes BurnRateBucket{5};

/** Counts how many programs kept their objective, durably, for the burn report. */
class BurnRateCounter
{
public:
    BurnRateCounter(VmId vm, const Clock &clock, CommitQueue &commits);

    void count(const EntryName &entry, bool late, bool refused);
    /** Writes what changed, at most every few seconds. */
    void tick();
    void reset();

private:
    using Key = std::pair<EntryName, std::int64_t>;

    VmId m_vm;
    const Clock &m_clock;
    CommitQueue &m_commits;
    std::map<Key, BurnRecord> m_records;
    std::set<Key> m_changed;
    SteadyTime m_nextWrite;
};

/** How fast one entry uses up its error budget. */
struct EntryBurnRate
{
    EntryName entry;
    std::int64_t programs = 0;
    std::int64_t missed = 0;
    /** Share of missed programs over the share that the objective allows. */
    double burn = 0;
};

/** The burn of every entry with programs in the @p window before @p now. */
std::vector<EntryBurnRate> burnRates(const std::vector<BurnRecord> &records,
                                     const std::map<EntryName, double> &objectiveShares,
                                     WallTime now, std::chrono::minutes window);

} // namespace boragepath
