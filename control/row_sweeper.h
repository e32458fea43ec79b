#pragma once

#include "control/row_store.h"
#include "control/vm_directory.h"
#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace boragepath {

/**
 * Removes expired rows from the store: those of programs, and those of turns whose
 * VM died before it could remove them.
 *
 * Without it the store would grow for months, since each program leaves a row. Rows
 * carry no timestamps, so that no clocks of different VMs are compared. Instead, a
 * row is removed if it has not changed since it was first seen, and that was longer
 * ago than rows of its kind are kept. Each partition is swept by the VM that
 * rendezvous hashing selects, a few partitions at a time.
 */
class RowSweeper
{
public:
    /** Returns the longest time for which turns are stored, by the current configuration. */
    using MaxTurnRetention = std::function<Duration()>;

    RowSweeper(const Clock &clock, Timers &timers, RowStore &store, const VmDirectory &vms,
               MaxTurnRetention maxTurnRetention, std::uint64_t seed);

    /** Schedules the first round after a pause, so that a VM that restarts often sweeps nothing. */
    void start();

    /** Rows removed so far. */
    std::uint64_t removed() const { return m_removed; }

private:
    struct ObservedRow
    {
        RowRevision version;
        SteadyTime firstSeen;
    };
    /** The rows of one partition of one table. */
    using ObservedRows = std::map<RowName, ObservedRow>;

    void scheduleRound();
    void startRound();
    void scanPartition(const std::string &table, const std::string &partition, Duration retention);
    void removeExpired(ObservedRows &observed, const std::vector<StoreRow> &rows,
                       Duration retention);
    void removeRows(const std::vector<StoreRow> &expired);

    const Clock &m_clock;
    Timers &m_timers;
    RowStore &m_store;
    const VmDirectory &m_vms;
    MaxTurnRetention m_maxTurnRetention;
    std::mt19937_64 m_random;
    std::uint64_t m_nextPartition;
    std::map<std::pair<std::string, std::string>, ObservedRows> m_observed;
    std::uint64_t m_removed = 0;
};

} // namespace boragepath
