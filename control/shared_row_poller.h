#pragma once

#include "control/table_reader.h"
#include "core/clock.h"

#include <functional>

namespace boragepath {

/**
 * Polls the rows under keys::sharedPrefix(): members, shards and the catalogue.
 *
 * Each read asks only for rows written since the last one, so the answer is nearly empty while
 * nothing changes.
 */
class SharedRowPoller
{
public:
    SharedRowPoller(const Clock &clock, TableReader &reader, Duration interval,
                    std::function<void(const std::vector<Row> &)> applyRows);

    /** Reads if a poll is due. */
    void tick();
    /** Reads soon if @p revision, which another VM has seen, is newer than any row seen here. */
    void readIfBehind(RowRevision revision);
    /** Another VM read the rows @p age ago and found no catalogue newer than the one here. */
    void confirmFreshness(Duration age);
    /**
     * Reads at once, or after the read that is in flight. @p done is called after a read that
     * began later than this call, with false if the store did not answer it.
     */
    void refresh(std::function<void(bool)> done);
    /** Notes the revision of a row that this VM wrote itself. */
    void noteRevision(RowRevision revision) { m_newestRow = std::max(m_newestRow, revision); }

    /** True once the first read was answered. */
    bool ready() const { return m_ready; }
    /** Time since the rows held here were last known to be up to date. */
    Duration age() const;
    /** Revision of the newest shared row seen. */
    RowRevision newestRow() const { return m_newestRow; }
    /** Fails all refreshes, ignores a read in flight and makes the next read due. */
    void reset();

private:
    void read();
    void finishRefreshes(const std::vector<std::function<void(bool)>> &refreshes, bool answered);

    const Clock &m_clock;
    TableReader &m_reader;
    Duration m_interval;
    std::function<void(const std::vector<Row> &)> m_applyRows;
    bool m_ready = false;
    bool m_reading = false;
    /** A newer row was announced during the read in flight. */
    bool m_rereadRequested = false;
    /** Grows with each reset(), so that answers to earlier reads are ignored. */
    std::uint64_t m_generation = 0;
    /** Store revision up to which rows have been read. */
    RowRevision m_readUpTo;
    RowRevision m_newestRow;
    SteadyTime m_upToDateAt;
    SteadyTime m_nextRead;
    /** Callbacks of refreshes that wait for the next read to begin. */
    std::vector<std::function<void(bool)>> m_queuedRefreshes;
    /** Callbacks of refreshes that wait for the read in flight. */
    std::vector<std::function<void(bool)>> m_activeRefreshes;
};

} // namespace boragepath
