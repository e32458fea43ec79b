#pragma once

#include "control/program_record.h"
#include "control/row_store.h"
#include "control/store_health.h"
#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <random>

namespace boragepath {

enum class ReservationResult {
    Granted,
    BudgetExhausted, ///< The store has confirmed that the budget does not cover the turn.
    StoreUnavailable, ///< Not known in time; nothing of it counts once the store is back.
};

/** One turn's claim on the budget of its program. */
struct ReservationRequest
{
    ProgramId program;
    AttemptId turn;
    /** Tokens that all turns of the program may hand out. */
    std::int64_t budget = 0;
    /** The most that this turn hands out. */
    std::int64_t most = 0;
    /** An earlier reservation that must not count any more, or empty. */
    AttemptId replaces = AttemptId();
    /** What was handed out by that reservation. */
    std::int64_t replacedTokens = 0;
    /** Of a grant: less than most will do, but not less than this; 0 for turns. */
    std::int64_t least = 0;
};

/** What one turn handed out. */
struct TurnSettlement
{
    ProgramId program;
    AttemptId turn;
    std::int64_t tokens = 0;
};

/**
 * Keeps the token budgets of programs in the store, whichever VM serves a turn.
 *
 * There is no owner: each change is one transaction on the program's row,
 * conditional on the version that it was computed from. A turn reserves the
 * most that it may hand out before it runs, and settles what it did hand out
 * soon after, mostly in the transaction of a later turn. Changes that fall due
 * while one is under way go into the next transaction. After a call without an
 * answer the row itself tells whether the change took effect; a late effect of
 * the same change fails on the version.
 */
class ProgramLedger
{
public:
    ProgramLedger(const Clock &clock, Timers &timers, RowStore &store, StoreHealth &health,
                  std::uint64_t seed);

    void reserve(const ReservationRequest &claim, SteadyTime deadline,
                 std::function<void(ReservationResult)> done);
    /** Is tried until it is in the store; nobody waits for it. */
    void settle(const TurnSettlement &settlement);
    /** Tokens that a reservation that was granted covers. */
    std::int64_t reservedFor(const ProgramId &program, const AttemptId &turn) const;
    /** Sends what waits for a later turn to go with, for example before a stop. */
    void flush();

    /** Changes that wait for the store. */
    std::size_t pending() const { return m_pending; }

private:
    struct Change
    {
        ReservationRequest claim;
        bool settles = false;
        TurnSettlement settlement;
        SteadyTime deadline;
        SteadyTime queuedAt;
        /** A transaction with it went unanswered. */
        bool mayBeDone = false;
        std::function<void(ReservationResult)> reserved;
    };
    struct Program
    {
        ProgramRecord record;
        RowRevision version;
        /** No change by another VM can have been missed since the reading. */
        bool fresh = false;
        bool busy = false;
        /** Settlements will be sent by a timer at the latest. */
        bool flushPlanned = false;
        int failures = 0;
        std::list<Change> queue;
        SteadyTime lastUse;
    };

    /** What becomes of a change, by the program's record as this VM knows it. */
    enum class Fate {
        Written, ///< It goes into the next transaction.
        Done, ///< The row shows that it took effect before.
        Refused, ///< The budget does not cover it.
        Blocked, ///< Grants of other VMs stand in its way, and may be given back soon.
        Unclear, ///< The row must be read first.
    };

    static Fate apply(const Change &change, const Program &program, ProgramRecord &record);
    /** True if a change must not wait for a later turn to go with. */
    bool isUrgent(const Change &change) const;
    void pump(const ProgramId &id, bool withoutWaiting = false);
    void planFlush(const ProgramId &id, Program &program);
    void dropOverdue(Program &program);
    void send(const ProgramId &id, Program &program);
    void onTransaction(const ProgramId &id, std::list<Change> sent, const ProgramRecord &record,
                       const TransactionResult &result);
    void readAgain(const ProgramId &id);
    void onRead(const ProgramId &id, const ReadResult &result);
    void adopt(Program &program, const std::vector<StoreRow> &rows, const ProgramId &id);
    void pauseThenPump(const ProgramId &id, bool read);
    void refuse(Change &change, const Program &program);
    void finish(Change &change, ReservationResult reservation);
    void forgetIdle();

    const Clock &m_clock;
    Timers &m_timers;
    RowStore &m_store;
    StoreHealth &m_health;
    std::mt19937_64 m_random;
    std::map<ProgramId, Program> m_programs;
    std::size_t m_pending = 0;
};

} // namespace boragepath
