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
 * Removes rows that nobody else removes: those of programs, and of turns whose VM died.
 *
 * Serves the load pattern of months of programs, each of which leaves a row. Rows
 * carry no dates and no clocks are compared: a row that a part still holds
 * unchanged, longer after it was first seen than rows of its kind are kept, is in
 * nobody's use. Each part is swept by the VM that rendezvous hashing names, a few
 * parts at a time.
 */
class RowSweeper
{
public:
    /** How long turns are kept at most, by the configuration in force. */
    using LongestKeep = std::function<Duration()>;

    RowSweeper(const Clock &clock, Timers &timers, RowStore &store, const VmDirectory &vms,
               LongestKeep longestKeep, std::uint64_t seed);

    /** Begins after a first pause, so that a VM that restarts often sweeps nothing. */
    void start();

    std::uint64_t removed() const { return m_removed; }

private:
    struct Sighting
    {
        RowRevision version;
        SteadyTime firstAt;
    };
    /** The rows of one part of one table. */
    using Sightings = std::map<RowName, Sighting>;

    void planRound();
    void beginRound();
    void look(const std::string &table, const std::string &partition, Duration keep);
    void compare(Sightings &sightings, const std::vector<StoreRow> &rows, Duration keep);
    void remove(const std::vector<StoreRow> &expired);

    const Clock &m_clock;
    Timers &m_timers;
    RowStore &m_store;
    const VmDirectory &m_vms;
    LongestKeep m_longestKeep;
    std::mt19937_64 m_random;
    std::uint64_t m_nextPart;
    std::map<std::pair<std::string, std::string>, Sightings> m_sightings;
    std::uint64_t m_removed = 0;
};

} // namespace boragepath
