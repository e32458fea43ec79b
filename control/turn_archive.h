#pragma once

#include "control/row_store.h"
#include "control/store_health.h"
#include "control/turn_record.h"
#include "core/clock.h"

#include <functional>
#include <list>
#include <map>
#include <random>

namespace boragepath {

enum class TurnLookup {
    Found,
    Absent, ///< The store has answered that no such turn is kept.
    StoreUnavailable, ///< Not known in time.
};

/**
 * Keeps in the store what was said up to each turn, whichever VM serves it.
 *
 * A turn's record is written once, under the turn's own id, and never changes:
 * writing it again after a call without an answer does no harm, and what this
 * VM wrote or read is kept in memory within a bound of bytes. A conversation lies
 * in the records of a few turns (see planTurn), which are read side by side.
 */
class TurnArchive
{
public:
    using Found = std::function<void(TurnLookup, const ConversationSnapshotPtr &)>;

    TurnArchive(const Clock &clock, Timers &timers, RowStore &store, StoreHealth &health,
                std::size_t maxBytes, std::uint64_t seed);

    void find(const AttemptId &turn, SteadyTime deadline, Found done);
    /**
     * Tries to record a turn until it is in the store; @p done comes then.
     *
     * @param previous the turn that it continues from, or null.
     * @param text the whole conversation, this turn included.
     */
    void record(const AttemptId &turn, const ConversationSnapshotPtr &previous, std::string text,
                Duration turnRetention, std::function<void()> done);

    /** Turns that wait for the store. */
    std::size_t pending() const { return m_pending; }

private:
    struct Recording
    {
        AttemptId turn;
        PlannedTurn planned;
        Duration turnRetention;
        std::function<void()> done;
        int failures = 0;
    };
    /** Rows that may be dropped once their time is over. */
    struct Expiry
    {
        AttemptId turn;
        std::size_t rows = 0;
    };
    /** A lookup that waits for records. */
    struct Search
    {
        AttemptId turn;
        SteadyTime deadline;
        Found done;
        TurnRecord record;
        /** Text of the segments before the missing ones. */
        std::string known;
        /** Tails of the segments that were not known, in order. */
        std::vector<std::string> tails;
        std::size_t missing = 0;
        bool ended = false;
    };

    void fetch(const AttemptId &turn, SteadyTime deadline, int failures,
               std::function<void(TurnLookup, const std::optional<TurnRecord> &)> done);
    void gatherSegments(const std::shared_ptr<Search> &search);
    void takeSegment(const std::shared_ptr<Search> &search, std::size_t index, TurnLookup lookup,
                     const std::optional<TurnRecord> &record);
    void assemble(Search &search);
    void write(const std::shared_ptr<Recording> &recording);
    void keep(const AttemptId &turn, const ConversationSnapshotPtr &kept);
    void planExpiry(const Recording &recording, std::size_t rows);
    void planDrop();
    void dropExpired();

    const Clock &m_clock;
    Timers &m_timers;
    RowStore &m_store;
    StoreHealth &m_health;
    std::mt19937_64 m_random;
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::size_t m_pending = 0;
    std::map<AttemptId, ConversationSnapshotPtr> m_kept;
    /** Oldest first. */
    std::list<AttemptId> m_ages;
    std::multimap<SteadyTime, Expiry> m_expiries;
    bool m_dropPlanned = false;
};

} // namespace boragepath
