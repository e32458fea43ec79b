#pragma once

#include "control/table_reader.h"
#include "core/clock.h"

#include <functional>

namespace boragepath {

/**
 * Follows the rows under keys::sharedPrefix(): members, shards, catalogue.
 *
 * Each read asks only for what was written after the last one, so a quiet
 * system costs a nearly empty answer.
 */
class SharedRowPoller
{
public:
    SharedRowPoller(const Clock &clock, TableReader &reader, Duration interval,
                    std::function<void(const std::vector<Row> &)> take);

    /** Reads if it is due. */
    void tick();
    /** Another VM knows of a row written at @p revision; reads soon if it is news. */
    void hint(RowRevision revision);
    /** Another VM knew @p age ago that nothing newer was in force. */
    void confirm(Duration age);
    /**
     * Reads at once; @p done comes after a read that began later than this call,
     * with false if the store did not answer it.
     */
    void refresh(std::function<void(bool)> done);
    /** Takes note of a row that this VM wrote itself. */
    void noteRow(RowRevision revision) { m_newestRow = std::max(m_newestRow, revision); }

    /** True once the first read was answered. */
    bool ready() const { return m_ready; }
    /** What is in force here was in force everywhere this long ago or later. */
    Duration age() const;
    /** Revision of the newest shared row seen. */
    RowRevision newestRow() const { return m_newestRow; }
    void reset();

private:
    void read();
    void finishRefreshes(const std::vector<std::function<void(bool)>> &refreshes, bool answered);

    const Clock &m_clock;
    TableReader &m_reader;
    Duration m_interval;
    std::function<void(const std::vector<Row> &)> m_take;
    bool m_ready = false;
    bool m_reading = false;
    bool m_again = false;
    std::uint64_t m_generation = 0;
    RowRevision m_position;
    RowRevision m_newestRow;
    SteadyTime m_freshAt;
    SteadyTime m_nextRead;
    /** Wait for the next read to begin. */
    std::vector<std::function<void(bool)>> m_refreshes;
    /** Wait for the read under way. */
    std::vector<std::function<void(bool)>> m_refreshing;
};

} // namespace boragepath
