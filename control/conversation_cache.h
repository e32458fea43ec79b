#pragma once

#include "control/program_record.h"
#include "control/row_store.h"
#include "control/store_health.h"
#include "core/clock.h"

#include <functional>
#include <list>
#include <map>

namespace boragepath {

enum class ConversationLookup {
    Found,
    Absent, ///< The store has answered that no such turn is kept.
    StoreAway, ///< Not known in time.
};

/**
 * Finds the conversation that a turn continues from.
 *
 * A turn's conversation never changes, so what this VM recorded or read is kept
 * within a bound of bytes. A program may continue from another one's turn:
 * where the program's own part of the store has no such turn, all parts are asked.
 */
class ConversationCache
{
public:
    using Done = std::function<void(ConversationLookup, Conversation)>;

    ConversationCache(const Clock &clock, Timers &timers, RowStore &store, StoreHealth &health,
                      std::size_t maxBytes);

    void find(const ProgramId &program, const AttemptId &turn, SteadyTime deadline, Done done);
    /** Takes over a conversation that is in the store. */
    void put(const AttemptId &turn, const Conversation &conversation);

private:
    struct Search
    {
        ProgramId program;
        AttemptId turn;
        SteadyTime deadline;
        Done done;
        std::size_t unanswered = 0;
        bool failed = false;
        bool finished = false;
    };

    void searchOwnPart(const std::shared_ptr<Search> &search);
    void searchAllParts(const std::shared_ptr<Search> &search);
    void retry(const std::shared_ptr<Search> &search);
    void found(const std::shared_ptr<Search> &search, const std::vector<StoreRow> &rows);
    void finish(const std::shared_ptr<Search> &search, ConversationLookup lookup,
                const Conversation &conversation);

    const Clock &m_clock;
    Timers &m_timers;
    RowStore &m_store;
    StoreHealth &m_health;
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    std::map<AttemptId, Conversation> m_kept;
    /** Oldest first. */
    std::list<AttemptId> m_ages;
};

} // namespace boragepath
