#pragma once

#include "control/program_ledger.h"
#include "control/vm_directory.h"
#include "core/clock.h"
#include "peers/gen/messages_types.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <set>

namespace boragepath {

/**
 * Takes changes of a program's budget to the VM where they meet the others.
 *
 * Serves the load pattern of a program whose turns come through many VMs: each
 * would find the row changed by another one and have to write twice. The VM
 * that rendezvous hashing names combines them into one transaction a turn. It
 * owns nothing: it applies the store's conditions like any other VM, and where
 * it does not answer, this VM does so itself. A change made twice takes effect
 * once, since a reservation carries its turn and a settlement needs it.
 */
class LedgerRelay
{
public:
    using Send = std::function<void(const Endpoint &to, const peers::LedgerNote &note)>;

    LedgerRelay(const Clock &clock, Timers &timers, ProgramLedger &ledger, const VmDirectory &vms,
                Send send);

    void reserve(const TurnClaim &claim, SteadyTime deadline,
                 std::function<void(Reservation)> done);
    void settle(const TurnSettlement &settlement);
    /** Takes a note of the VM at @p from. */
    void hear(const Endpoint &from, const peers::LedgerNote &note);

    /** Counts for the metrics page; safe from any thread. */
    std::uint64_t relayed() const { return m_relayed; }
    std::uint64_t fallbacks() const { return m_fallbacks; }

private:
    struct Question
    {
        TurnClaim claim;
        SteadyTime deadline;
        std::function<void(Reservation)> done;
        /** The other VM has said that it is at it. */
        bool taken = false;
    };

    void fallBack(std::int64_t id);
    void answer(const Endpoint &to, std::int64_t id, peers::LedgerOutcome::type outcome);

    const Clock &m_clock;
    Timers &m_timers;
    ProgramLedger &m_ledger;
    const VmDirectory &m_vms;
    Send m_send;
    std::map<std::int64_t, Question> m_questions;
    std::map<std::int64_t, TurnSettlement> m_settlements;
    /** Turns whose reservation this VM made itself after the other one did not answer. */
    std::set<AttemptId> m_ownReservations;
    std::int64_t m_nextId = 1;
    std::atomic<std::uint64_t> m_relayed = 0;
    std::atomic<std::uint64_t> m_fallbacks = 0;
};

} // namespace boragepath
