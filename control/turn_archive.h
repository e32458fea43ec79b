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

/** Result of looking up a turn. */
enum class TurnLookup {
    Found,
    Absent, ///< The store has no record of the turn, or no readable one.
    StoreUnavailable, ///< The store did not answer in time.
};

/**
 * Stores the conversation up to each turn, so that any VM can continue from it.
 *
 * A turn's record is written once, under the turn's own id, and never changes. One that the
 * store doesn't take in one call is written in several; its first row comes last, so that a part of
 * it is never taken for the whole.
 * Repeating the write after a call without an answer is therefore harmless, and
 * records that this VM wrote or read can be cached, up to a limit in bytes. The
 * conversation is spread over the records of a few turns (see planTurn), which are
 * read in parallel.
 */
class TurnArchive
{
public:
    using FindCallback = std::function<void(TurnLookup, const ConversationSnapshotPtr &)>;

    TurnArchive(const Clock &clock, Timers &timers, RowStore &store, StoreHealth &health,
                std::size_t maxCachedBytes, std::uint64_t seed);

    /**
     * Finds the conversation up to @p turn, in the cache or in the store. Reads that fail are
     * retried until the deadline. @p done may run before this returns.
     */
    void find(const AttemptId &turn, SteadyTime deadline, FindCallback done);
    /**
     * Records a turn, retrying until it is in the store, and then calls @p done.
     *
     * @param previous the conversation that the turn continues, or null.
     * @param text the whole conversation, including this turn.
     * @param turnRetention the minimum time for which the turn can be found.
     */
    void record(const AttemptId &turn, const ConversationSnapshotPtr &previous, std::string text,
                Duration turnRetention, std::function<void()> done);

    /** Number of turns that are not in the store yet. */
    std::size_t pending() const { return m_pending; }

private:
    struct PendingRecord
    {
        AttemptId turn;
        /** The encoded record. */
        std::string text;
        ConversationSnapshotPtr snapshot;
        bool isSegment = false;
        Duration turnRetention;
        std::function<void()> done;
        /** Rows before this one are still to be written. */
        std::size_t rowsLeft = 0;
        int failures = 0;
    };
    /** The rows of a turn, to be removed once it has expired. */
    struct Expiry
    {
        AttemptId turn;
        std::size_t rows = 0;
    };
    /** A lookup that waits for records from the store. */
    struct Search
    {
        AttemptId turn;
        SteadyTime deadline;
        FindCallback done;
        ArchivedTurn record;
        /** Cached text of the conversation before the missing segments. */
        std::string knownText;
        /** Tails of the segments that were not cached, in order. */
        std::vector<std::string> tails;
        /** Segments that have not been read yet. */
        std::size_t missing = 0;
        bool finished = false;
    };

    void readRecord(const AttemptId &turn, SteadyTime deadline, int failures,
                    std::function<void(TurnLookup, const std::optional<ArchivedTurn> &)> done);
    void readSegments(const std::shared_ptr<Search> &search);
    void onSegmentRead(const std::shared_ptr<Search> &search, std::size_t index, TurnLookup lookup,
                       const std::optional<ArchivedTurn> &record);
    void assemble(Search &search);
    /** Writes the rows that are left, the last ones first. */
    void write(const std::shared_ptr<PendingRecord> &pendingRecord);
    void onWritten(const std::shared_ptr<PendingRecord> &pendingRecord, std::size_t firstRow,
                   const TransactionResult &result);
    void addToCache(const AttemptId &turn, const ConversationSnapshotPtr &snapshot);
    void scheduleExpiry(const PendingRecord &pendingRecord);
    void schedulePrune();
    void pruneExpiredTurn();

    const Clock &m_clock;
    Timers &m_timers;
    RowStore &m_store;
    StoreHealth &m_health;
    std::mt19937_64 m_random;
    std::size_t m_maxCachedBytes;
    std::size_t m_cachedBytes = 0;
    std::size_t m_pending = 0;
    std::map<AttemptId, ConversationSnapshotPtr> m_cache;
    /** Cached turns in order of insertion, oldest first. */
    std::list<AttemptId> m_cacheOrder;
    std::multimap<SteadyTime, Expiry> m_expiries;
    bool m_pruneScheduled = false;
};

} // namespace boragepath
