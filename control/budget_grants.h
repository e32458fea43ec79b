#pragma once

#include "control/program_ledger.h"
#include "control/row_store.h"
#include "control/store_health.h"
#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace boragepath {

/**
 * Hands out programs' budgets to turns from grants: parts of a budget that the
 * store's row reserves for this VM.
 *
 * Serves the load pattern of programs with many short turns: a transaction for
 * each of them makes the store's write rate the limit of the whole system, and an
 * outage of the store the end of each program. A grant covers a few turns at
 * their most, and is exchanged for a larger one, with what was spent of it, in one
 * transaction. It stands in the row like any reservation, so the budget holds
 * whoever dies: what is left of a lost VM's grant counts as spent.
 */
class BudgetGrants
{
public:
    /** @param holder names this incarnation of this VM in the rows. */
    BudgetGrants(const Clock &clock, Timers &timers, ProgramLedger &ledger,
                 const StoreHealth &health, std::string holder);

    void reserve(const ReservationRequest &claim, SteadyTime deadline,
                 std::function<void(ReservationResult)> done);
    /** Takes note of what a turn handed out; one that holds nothing here changes nothing. */
    void settle(const TurnSettlement &settlement);
    /** Gives back all that is not promised to turns under way; for a stop. */
    void releaseAll();

    /** Programs with a grant. */
    std::size_t open() const { return m_grants.size(); }
    /** Turns that were reserved without a call to the store. */
    std::uint64_t reservedHere() const { return m_reservedHere; }

private:
    struct Claim
    {
        ReservationRequest claim;
        SteadyTime deadline;
        std::function<void(ReservationResult)> done;
    };
    /** A turn under way. */
    struct Promise
    {
        std::int64_t most = 0;
        /** If nothing is heard of the turn by then, it counts as having handed out its most. */
        SteadyTime overdueAt;
    };
    struct Grant
    {
        /** Its name in the row; empty while there is none. */
        AttemptId name;
        std::int64_t size = 0;
        std::int64_t spent = 0;
        std::map<AttemptId, Promise> turns;
        /** It is being exchanged; nothing can be taken from it until that is done. */
        bool changing = false;
        bool closePlanned = false;
        std::deque<Claim> waiting;
        SteadyTime lastUse;

        std::int64_t promised() const;
    };

    void pump(const ProgramId &program);
    void exchange(const ProgramId &program, Grant &grant);
    void onExchanged(const ProgramId &program, const AttemptId &name, std::int64_t spentBefore,
                     ReservationResult reservation);
    void refuseFirst(Grant &grant, ReservationResult reservation);
    void dropLate(Grant &grant);
    void planClose(const ProgramId &program, Grant &grant);
    void closeIfQuiet(const ProgramId &program);

    const Clock &m_clock;
    Timers &m_timers;
    ProgramLedger &m_ledger;
    const StoreHealth &m_health;
    std::string m_holder;
    std::uint64_t m_nextName = 1;
    std::map<ProgramId, Grant> m_grants;
    std::uint64_t m_reservedHere = 0;
};

} // namespace boragepath
