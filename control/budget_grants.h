#pragma once

#include "control/outage/budget_lenders.h"
#include "control/program_ledger.h"
#include "control/row_store.h"
#include "control/store_health.h"
#include "core/clock.h"
#include "core/ids.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace boragepath {

/**
 * Reserves tokens for turns from grants. A grant is a part of a program's budget
 * that the program's row in the store reserves for this VM.
 *
 * Designed for programs with many short turns. With one transaction per turn, the
 * write rate of the store would limit the whole system, and a store outage would
 * end every program. A grant covers the maximum of a few turns. When it runs out,
 * one transaction settles what was used of it and reserves the next grant. A grant
 * is in the row like any other reservation, so the budget is kept whichever VM
 * fails: the rest of a lost VM's grant stays reserved. Tokens of turns whose end is not known stay
 * reserved too, but do not exhaust the budget, since the turns may not have run.
 *
 * While the store is slow or away, a VM that lends the program's budget (BudgetLenders) lets turns
 * run without a reservation in the row, as far as the lender's part of the budget goes. The tokens
 * of such a loan are settled in the row once the store answers again.
 */
class BudgetGrants
{
public:
    /** @param holder identifies this incarnation of this VM in the names of its grants. */
    BudgetGrants(const Clock &clock, Timers &timers, ProgramLedger &ledger,
                 const StoreHealth &health, std::string holder);

    /**
     * Reserves tokens from the grant, which is exchanged first if it is too small. @p done may run
     * before this returns. After the deadline the result is StoreUnavailable.
     */
    void reserve(const ReservationRequest &request, SteadyTime deadline,
                 std::function<void(ReservationResult)> done);
    /**
     * Settles the tokens that a turn used, or cancels its waiting request. Does nothing if the turn
     * has no reservation here.
     */
    void settle(const TurnSettlement &settlement);
    /** From now on turns may use loans as far as this VM is a lender. */
    void setLenders(BudgetLenders &lenders) { m_lenders = &lenders; }
    /** This VM may lend now, so that turns that wait for that can go on. */
    void onLendingGranted();
    /**
     * The programs that this VM has reserved tokens for since @p time; none if it may have
     * forgotten some.
     */
    std::optional<std::vector<ProgramId>> programsUsedSince(BootTime time) const;
    /** True if the rows do not contain all tokens that this VM has lent. */
    bool hasLoans() const;
    /** Releases all tokens that are not reserved for running turns; for shutdown. */
    void releaseAll();

    /** Number of programs with a grant or with waiting requests. */
    std::size_t grantCount() const { return m_grants.size(); }
    /** Number of reservations that were granted from a grant. */
    std::uint64_t reservedLocally() const { return m_reservedLocally; }
    /** Number of turns that were let run by a loan; may be read from any thread. */
    std::uint64_t loans() const { return m_loans; }

private:
    /** A request that waits for an exchange of the grant. */
    struct WaitingRequest
    {
        ReservationRequest request;
        SteadyTime deadline;
        std::function<void(ReservationResult)> done;
        SteadyTime queuedAt;
        /** The exchange has reserved its tokens in the row. */
        bool isInRow = false;
    };
    /** The reservation of a running turn. */
    struct ActiveTurn
    {
        std::int64_t maxTokens = 0;
        /** A turn that isn't settled by then counts as having used maxTokens. */
        SteadyTime overdueAt;
        /** It has a reservation of its own in the row, so that the grant need not cover it. */
        bool isInRow = false;
    };
    struct Grant
    {
        /** Its id in the row, or the id of a loan; empty while there is neither. */
        AttemptId id;
        /** Turns have used tokens that no reservation in the row covers. */
        bool hasLoan = false;
        /** Some of its turns could borrow. */
        bool mayBorrow = false;
        /** Some of its turns, or of the requests for them, are of stored turns. */
        bool hasStoredTurns = false;
        /** A timer is set for when more may be lent. */
        bool retryScheduled = false;
        std::int64_t size = 0;
        std::int64_t spent = 0;
        /** The most tokens of turns that have not been settled in time; they may have run. */
        std::int64_t unsettled = 0;
        std::map<AttemptId, ActiveTurn> turns;
        /** Tokens of ended turns that have reservations of their own in the row. */
        std::map<AttemptId, std::int64_t> ended;
        /** Tokens, counted in @c spent, of turns that ended while the exchange reserved them. */
        std::map<AttemptId, std::int64_t> endedInExchange;
        /** An exchange is in progress; no tokens are reserved from the grant until it is done. */
        bool exchanging = false;
        bool closeScheduled = false;
        std::deque<WaitingRequest> waiting;
        SteadyTime lastUsed;

        /**
         * What the grant must cover besides the tokens spent: turns that run or may have run, but
         * for those with reservations of their own.
         */
        std::int64_t uncertainTokens() const;
    };

    void processQueue(const ProgramId &program);
    void serveFirst(Grant &grant);
    /** Lets the first waiting turn run without the store if this VM may lend to the program. */
    LoanPermission lend(const ProgramId &program, Grant &grant);
    /** Lends later what may not be lent yet, if that is known to come. */
    LoanPermission lendLater(const ProgramId &program, Grant &grant,
                             std::optional<Duration> oneTurnLimit);
    void exchange(const ProgramId &program, Grant &grant);
    void onExchanged(const ReservationRequest &request, ReservationResult result);
    /** The turns under way that the grant covers. */
    static std::vector<GrantedTurn> turnsToGrant(const Grant &grant);
    static std::vector<TurnSettlement> endedTurns(const ProgramId &program, const Grant &grant);
    /** Notes that the row has reservations for the turns of a grant. */
    static void noteGrantedTurns(Grant &grant, const std::vector<GrantedTurn> &turns);
    /** Tokens that @p grant has used less than the reservations of its ended turns. */
    std::int64_t unusedOfEnded(const ProgramId &program, const Grant &grant) const;
    void refuseFirst(Grant &grant, ReservationResult result);
    /** True if turns that wait can have neither the store's answer soon nor a loan. */
    bool isStuck(const Grant &grant) const;
    /** Refuses a turn that still waits, if that is in vain. */
    void refuseIfStuck(const ProgramId &program, const AttemptId &turn);
    /** A turn that doesn't run releases the reservation that the row has for it. */
    static void noteWithdrawn(Grant &grant, const WaitingRequest &withdrawn);
    void expireOverdue(Grant &grant);
    void scheduleClose(const ProgramId &program, Grant &grant);
    void closeIfIdle(const ProgramId &program);
    /** Releases what a grant doesn't need any more. */
    void release(const ProgramId &program, const Grant &grant);
    AttemptId newGrantId();

    const Clock &m_clock;
    Timers &m_timers;
    ProgramLedger &m_ledger;
    const StoreHealth &m_health;
    std::string m_holder;
    BudgetLenders *m_lenders = nullptr;
    std::uint64_t m_nextGrantNumber = 1;
    std::map<ProgramId, Grant> m_grants;
    std::uint64_t m_reservedLocally = 0;
    std::atomic<std::uint64_t> m_loans = 0;
};

} // namespace boragepath
