#pragma once

#include "control/program_record.h"
#include "control/row_store.h"
#include "control/store_health.h"
#include "core/clock.h"
#include "core/logging.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace boragepath {

/** Result of a request to reserve tokens of a program's budget. */
enum class ReservationResult {
    Granted,
    BudgetExhausted, ///< The row in the store shows that the budget does not cover the turn.
    StoreUnavailable, ///< No result in time; a reservation that takes effect late is released.
};

/** The budget of a program that states none. */
inline constexpr std::int64_t NoTokenBudget = std::numeric_limits<std::int64_t>::max();

/** The tokens that one turn generated. Replaces its reservation. */
struct TurnSettlement
{
    ProgramId program;
    AttemptId turn;
    std::int64_t tokens = 0;
    /**
     * The holder of the grant that the turn was reserved from may have settled it already, so that
     * nothing is written if the row has no reservation for it.
     */
    bool mayBeSettled = false;
};

/** A part of a grant that is reserved for one turn. */
struct GrantedTurn
{
    AttemptId turn;
    std::int64_t maxTokens = 0;
};

/** Asks to reserve tokens of a program's budget for one turn, or for a grant. */
struct ReservationRequest
{
    ProgramId program;
    AttemptId turn;
    /** Tokens that all turns of the program may generate together. */
    std::int64_t budget = 0;
    /** The most tokens that this turn can generate. */
    std::int64_t maxTokens = 0;
    /** An earlier reservation that this one replaces, or empty. */
    AttemptId replaces = AttemptId();
    /** Tokens that were used of the replaced reservation. */
    std::int64_t replacedSpent = 0;
    /**
     * For a grant: the smallest size that is of use; the grant may get anything between this and
     * maxTokens. 0 for a turn, which always reserves maxTokens.
     */
    std::int64_t minTokens = 0;
    /**
     * For a grant: the part of minTokens that covers turns which may turn out not to have run. The
     * budget is not exhausted if it covers the rest.
     */
    std::int64_t uncertainTokens = 0;
    /** For a grant: the most tokens that one turn can generate. 0 for a turn: its maxTokens. */
    std::int64_t maxTurnTokens = 0;
    /** The turn can end without the store, so that its tokens may be lent. */
    bool mayBorrow = false;
    /** For a grant: the turns that get reservations of their own, of the tokens of the grant. */
    std::vector<GrantedTurn> grantedTurns = {};
    /** For a grant: turns with such reservations that have ended, under their ids in the row. */
    std::vector<TurnSettlement> endedTurns = {};
};

/** How much of a program's budget a VM may reserve. */
enum class BudgetAuthority {
    /** The part of all VMs that don't know what the lender has lent (splitBudget()). */
    Restricted,
    /** The whole budget if the row says that all turns are stored: these are never lent for. */
    WholeOfStoredRows,
    /** The same, and if there is no row yet: at most one turn was lent to such a program. */
    WholeOfStoredTurns,
    Whole,
};

/**
 * Keeps the token budgets of programs in the store, whichever VM serves a turn.
 *
 * No VM owns a budget: every change is a transaction on the program's row that is
 * conditional on the row version that it was computed from. Before a turn runs it
 * reserves the most tokens that it may generate. After it has ended it settles the
 * tokens that it did generate, usually in the transaction of a later turn. Changes
 * that arrive while a transaction is in flight are batched into the next one. If a
 * transaction goes unanswered, the row is read to see whether it took effect; if it
 * reaches the store late, its version condition fails.
 */
class ProgramLedger
{
public:
    ProgramLedger(const Clock &clock, Timers &timers, RowStore &store, StoreHealth &health,
                  std::uint64_t seed);

    /**
     * Reserves tokens; @p done may run before this returns. Granted also if the row shows an
     * earlier reservation or settlement of the same turn; StoreUnavailable if the store isn't
     * reachable, too many changes are pending, the deadline has passed, or grants hold the tokens
     * that are missing.
     */
    void reserve(const ReservationRequest &request, SteadyTime deadline,
                 std::function<void(ReservationResult)> done);
    /** Replaces a reservation by the tokens used; retried until it is in the store. */
    void settle(const TurnSettlement &settlement);
    /** Decides how much of a program's budget this VM may reserve; by default the whole. */
    void setAuthority(std::function<BudgetAuthority(const ProgramId &)> authorityOver);
    /** Adds to the line on a withheld reservation who lends for the program, and since when. */
    void setTenureLog(std::function<void(const ProgramId &, LogLine &)> describeTenure);
    /**
     * Tokens of a program that are spent or reserved, without the reservation @p besides: by the
     * last known row, and by settlements that are not in it yet.
     */
    std::int64_t committedBesides(const ProgramId &program, const AttemptId &besides) const;
    /** True if the last known row shows that all turns of the program are stored. */
    bool hasOnlyStoredTurns(const ProgramId &program) const;
    /** True if the last known row shows that the program has had turns that may be lent for. */
    bool hasTurnsThatBorrow(const ProgramId &program) const;
    /** The programs that this VM has reserved or settled tokens for since @p time. */
    std::vector<ProgramId> programsUsedSince(BootTime time) const;
    /** When the last known row was asked for or written; none if the row is not known. */
    std::optional<BootTime> rowSeenAt(const ProgramId &program) const;
    /** The last use of the programs whose rows this VM has forgotten. */
    std::optional<BootTime> lastForgottenUse() const { return m_lastForgottenUse; }
    /** Size of a granted reservation in tokens, from the last known row; 0 if there is none. */
    std::int64_t reservedFor(const ProgramId &program, const AttemptId &turn) const;
    /** Sends delayed settlements at once, for example before shutdown. */
    void flush();

    /** True if a reservation is on its way to the store. */
    bool isReserving() const { return m_pendingReservations > 0; }
    /** True if a settlement of tokens that no reservation covers is not in the store yet. */
    bool isSettlingLoans() const;
    /** Number of changes that are not in the store yet. */
    std::size_t pending() const { return m_pending; }

private:
    /** A reservation, or a settlement if @c settles is set. */
    struct Change
    {
        ReservationRequest request;
        bool settles = false;
        TurnSettlement settlement;
        SteadyTime deadline;
        SteadyTime queuedAt;
        /** A transaction with this change went unanswered, so the row may contain it. */
        bool mayBeApplied = false;
        std::function<void(ReservationResult)> onReserved;
    };
    struct Program
    {
        /** The row as this VM last wrote or read it. */
        ProgramRecord record;
        RowRevision version;
        /**
         * The record counts as current. Cleared when a reservation arrives while nothing is in
         * progress, since other VMs may have changed the row after the last read or write.
         */
        bool fresh = false;
        /** A transaction, a read or a retry delay is in progress, or callbacks are running. */
        bool busy = false;
        /** A timer is set that sends delayed settlements. */
        bool flushScheduled = false;
        int failures = 0;
        std::list<Change> queue;
        /** Tokens of settlements in flight beyond their reservations in the row. */
        std::int64_t unreservedInFlight = 0;
        SteadyTime lastUsed;
        BootTime lastUsedAt;
        /** When the last read or transaction that was answered had been sent. */
        std::optional<BootTime> rowSeenAt;
    };

    /** What to do with a queued change, given the last known record of the program. */
    enum class ChangeAction {
        Write, ///< Include it in the next transaction.
        AlreadyApplied, ///< The row shows that it has already taken effect.
        Refuse, ///< Refuse it: the budget does not cover it.
        Blocked, ///< Grants of other VMs hold the missing tokens, and may release them soon.
        NeedsRead, ///< Read the row first, since the known record may be outdated.
    };

    /** True if this VM may reserve only the part of VMs that don't lend. */
    bool isRestricted(const ReservationRequest &request, const ProgramRecord &record) const;
    ChangeAction apply(const Change &change, const Program &program, ProgramRecord &record) const;
    /** Tokens of settlements that are neither in the row nor covered by a reservation there. */
    static std::int64_t unreservedSettlements(const Program &program);
    /** True if the change must not be delayed to join the transaction of a later turn. */
    bool isUrgent(const Change &change) const;
    void processQueue(const ProgramId &id, bool sendNow = false);
    void scheduleFlush(const ProgramId &id, Program &program);
    void failOverdueChanges(Program &program);
    void send(const ProgramId &id, Program &program);
    void onTransaction(const ProgramId &id, std::list<Change> sent, const ProgramRecord &record,
                       BootTime sentAt, const TransactionResult &result);
    void readRow(const ProgramId &id);
    void onRead(const ProgramId &id, BootTime sentAt, const ReadResult &result);
    void applyRows(Program &program, const std::vector<StoreRow> &rows, const ProgramId &id);
    void retryAfterBackoff(const ProgramId &id, bool read);
    void refuseOverBudget(Change &change, const Program &program);
    /** Refuses what tokens are missing for that others may release or may have lent. */
    void refuseForNow(Change &change, const Program &program);
    void completeChange(Change &change, ReservationResult result);
    void evictIdleProgram();

    const Clock &m_clock;
    Timers &m_timers;
    RowStore &m_store;
    StoreHealth &m_health;
    std::mt19937_64 m_random;
    std::map<ProgramId, Program> m_programs;
    std::size_t m_pending = 0;
    std::size_t m_pendingReservations = 0;
    std::function<BudgetAuthority(const ProgramId &)> m_authorityOver;
    std::function<void(const ProgramId &, LogLine &)> m_describeTenure;
    std::optional<BootTime> m_lastForgottenUse;
};

} // namespace boragepath
