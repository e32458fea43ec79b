#pragma once

#include "control/row_store.h"
#include "control/store_health.h"
#include "control/turn_rows.h"
#include "core/clock.h"

#include <functional>
#include <list>
#include <map>
#include <random>

namespace boragepath {

enum class TurnLookup {
    Found,
    Absent, ///< The store has answered that no such turn is kept.
    StoreAway, ///< Not known in time.
};

/**
 * Keeps in the store what was said up to each turn, whichever VM serves it.
 *
 * A turn's conversation is written once, under the turn's own id, and never
 * changes: writing it again after a call without an answer does no harm, and
 * what this VM wrote or read is kept in memory within a bound of bytes.
 */
class TurnArchive
{
public:
    using Found = std::function<void(TurnLookup, Conversation)>;

    TurnArchive(const Clock &clock, Timers &timers, RowStore &store, StoreHealth &health,
                std::size_t maxBytes, std::uint64_t seed);

    void find(const AttemptId &turn, SteadyTime deadline, Found done);
    /** Tries to record a turn until it is in the store; @p done comes then. */
    void record(const AttemptId &turn, const Conversation &conversation, Duration keepTime,
                std::function<void()> done);

    /** Turns that wait for the store. */
    std::size_t pending() const { return m_pending; }

private:
    struct Recording
    {
        AttemptId turn;
        Conversation conversation;
        Duration keepTime;
        std::function<void()> done;
        int failures = 0;
    };
    /** Rows that may be dropped once their time is over. */
    struct Expiry
    {
        SteadyTime at;
        AttemptId turn;
        std::size_t rows = 0;
    };

    void search(const AttemptId &turn, SteadyTime deadline, Found done);
    void write(const std::shared_ptr<Recording> &recording);
    void keep(const AttemptId &turn, const Conversation &conversation);
    void dropExpired();

    const Clock &m_clock;
    Timers &m_timers;
    RowStore &m_store;
    StoreHealth &m_health;
    std::mt19937_64 m_random;
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::size_t m_pending = 0;
    std::map<AttemptId, Conversation> m_kept;
    /** Oldest first. */
    std::list<AttemptId> m_ages;
    std::list<Expiry> m_expiries;
};

} // namespace boragepath
