#pragma once

#include "control/budget_grants.h"
#include "control/program_ledger.h"
#include "control/prompt_locations.h"
#include "control/vm_directory.h"
#include "core/clock.h"
#include "peers/gen/messages_types.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace boragepath {

/** A line of turns, and the replica that read its prompt. */
struct PromptLocation
{
    std::string session;
    /** Empty if no replica has read it whole. */
    ReplicaId replica;
};

/**
 * Takes changes of a program's budget to the VM where they meet the others.
 *
 * Serves the load pattern of a program whose turns come through many VMs: each
 * would find the row changed by another one and have to write twice. The VM
 * that rendezvous hashing names combines them, hands them out of its grant, and
 * tells where the program's prompt lies. It owns nothing: its grant stands in the
 * store's row, and where it does not answer, this VM makes a reservation of its
 * own in that row. What a turn handed out is told to the VM that reserved for it,
 * again and again while that VM lives; the grant of one that died counts as spent.
 */
class LedgerRelay
{
public:
    using Send = std::function<void(const Endpoint &to, const peers::LedgerNote &note)>;
    /** Comes with the replica that lately read the line's prompt, or an empty id. */
    using Reserved = std::function<void(ReservationResult, const ReplicaId &promptReplica)>;

    LedgerRelay(const Clock &clock, Timers &timers, ProgramLedger &ledger, BudgetGrants &grants,
                const VmDirectory &vms, Send send);

    void reserve(const ReservationRequest &claim, const std::string &session, SteadyTime deadline,
                 Reserved done);
    void settle(const TurnSettlement &settlement, const PromptLocation &place);
    /** Takes a note of the VM at @p from. */
    void receive(const Endpoint &from, const peers::LedgerNote &note);

    /** Settlements that the VM which reserved has not confirmed yet. */
    std::size_t unconfirmedSettlements() const { return m_settlements.size(); }
    /** Counts for the metrics page; safe from any thread. */
    std::uint64_t forwardedRequests() const { return m_relayed; }
    std::uint64_t localFallbacks() const { return m_fallbacks; }

private:
    struct Question
    {
        ReservationRequest claim;
        SteadyTime deadline;
        Reserved done;
        Endpoint asked;
        /** The other VM has said that it is at it. */
        bool taken = false;
    };
    /** Who reserved for a turn under way. */
    struct Reserver
    {
        /** Another VM, or none. */
        std::optional<Endpoint> vm;
        /** This VM, in the row itself, after the other one did not answer. */
        bool inRow = false;
    };
    struct Settlement
    {
        Endpoint to;
        peers::LedgerNote note;
        int sent = 0;
    };

    void fallBack(std::int64_t id);
    void tell(const Endpoint &to, const TurnSettlement &settlement, const PromptLocation &place);
    void sendSettlement(std::int64_t id);
    void hearReserve(const Endpoint &from, const peers::LedgerNote &note);
    void hearAnswer(const peers::LedgerNote &note);
    void answer(const Endpoint &to, std::int64_t id, peers::LedgerOutcome::type outcome,
                const ReplicaId &promptReplica = ReplicaId());
    void noteLocation(const ProgramId &program, const PromptLocation &place);

    const Clock &m_clock;
    Timers &m_timers;
    ProgramLedger &m_ledger;
    BudgetGrants &m_grants;
    const VmDirectory &m_vms;
    Send m_send;
    PromptLocations m_locations;
    std::map<std::int64_t, Question> m_questions;
    std::map<std::int64_t, Settlement> m_settlements;
    std::map<AttemptId, Reserver> m_reservers;
    std::int64_t m_nextId = 1;
    std::atomic<std::uint64_t> m_relayed = 0;
    std::atomic<std::uint64_t> m_fallbacks = 0;
};

} // namespace boragepath
