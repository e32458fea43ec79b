#pragma once

#include "control/budget_grants.h"
#include "control/outage/budget_lenders.h"
#include "control/program_ledger.h"
#include "control/prompt_locations.h"
#include "control/vm_directory.h"
#include "core/clock.h"
#include "peers/gen/messages_types.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace boragepath {

/** A session of a program, and the replica that has read its prompt. */
struct PromptLocation
{
    std::string session;
    /** Empty if no replica has read the whole prompt. */
    ReplicaId replica;
};

/**
 * Forwards changes of a program's budget to the VM that coordinates that program.
 *
 * Designed for programs whose turns arrive at many VMs. If each VM wrote to the
 * program's row itself, it would usually find that another one had changed it, and
 * would have to write twice. Instead the VM chosen by rendezvous hashing, the
 * coordinator, serves all reservations from its grant and also tells which replica
 * has read the program's prompt. The coordinator owns no state of its own: its grant
 * is in the row in the store, and if it does not answer, this VM reserves in that
 * row directly. The tokens that a turn used are sent to the VM that reserved them,
 * with retries as long as that VM is alive. If it is lost, or is lost before it can have
 * written them, this VM settles the reservation that the row has for the turn. What the grant of a
 * lost VM held besides counts as spent.
 */
class LedgerRelay
{
public:
    using Send = std::function<void(const Endpoint &to, const peers::LedgerNote &note)>;
    /** Also gets the replica that last read the session's prompt, or an empty id. */
    using ReserveCallback = std::function<void(ReservationResult, const ReplicaId &promptReplica)>;

    LedgerRelay(const Clock &clock, Timers &timers, ProgramLedger &ledger, BudgetGrants &grants,
                const VmDirectory &vms, Send send);

    /** From now on the lenders of budgets coordinate the programs. */
    void setLenders(const BudgetLenders &lenders) { m_lenders = &lenders; }
    /**
     * Reserves tokens for a turn through the coordinator, or in the store if the coordinator does
     * not answer in time. @p done may run before this returns.
     */
    void reserve(const ReservationRequest &request, const std::string &session, SteadyTime deadline,
                 ReserveCallback done);
    /** Settles the tokens that a turn used, wherever they were reserved. */
    void settle(const TurnSettlement &settlement, const PromptLocation &location);
    /** Handles a message from the VM at @p from. */
    void receive(const Endpoint &from, const peers::LedgerNote &note);

    /** Number of settlements that the VM which made the reservation has not acknowledged yet. */
    std::size_t unconfirmedSettlements() const { return m_settlements.size(); }
    /** Counters for the metrics page; may be read from any thread. */
    std::uint64_t forwardedRequests() const { return m_forwardedRequests; }
    std::uint64_t localFallbacks() const { return m_localFallbacks; }

private:
    /** A VM that reserves tokens from its grant for others. */
    struct GrantHolder
    {
        Endpoint address;
        /** Name of its incarnation; empty if it was not known. */
        std::string incarnation;
    };
    /** A reservation that was requested from a coordinator. */
    struct PendingRequest
    {
        ReservationRequest request;
        SteadyTime deadline;
        ReserveCallback done;
        GrantHolder coordinator;
        /** The coordinator has acknowledged the request and is processing it. */
        bool acknowledged = false;
    };
    /** Where the tokens of a running turn were reserved. */
    struct ReservationHolder
    {
        /** The coordinator that reserved them, or empty if this VM did. */
        std::optional<GrantHolder> vm;
        /** This VM reserved them in the row, since the coordinator did not answer. */
        bool reservedInStore = false;
    };
    struct PendingSettlement
    {
        GrantHolder to;
        peers::LedgerNote note;
        int attempts = 0;
    };
    /** A settlement that the holder of the grant has acknowledged and may not have written yet. */
    struct AcknowledgedSettlement
    {
        TurnSettlement settlement;
        SteadyTime at;
    };

    /** The VM that coordinates a program; nothing if it is this VM. */
    std::optional<Endpoint> coordinatorFor(const ProgramId &program) const;
    void fallBackToStore(std::int64_t id);
    /** True if the holder of a grant has ended, or can't be heard. */
    bool isLost(const GrantHolder &holder) const;
    /** Settles the reservation that the row has for a turn whose grant's holder is lost. */
    void settleInRow(TurnSettlement settlement, bool mayBeSettled);
    void keepAcknowledged(const PendingSettlement &settlement);
    /** Settles what lost holders acknowledged, and forgets what the others have written. */
    void checkAcknowledged();
    void queueSettlement(const GrantHolder &to, const TurnSettlement &settlement,
                         const PromptLocation &location);
    void sendSettlement(std::int64_t id);
    void handleReserve(const Endpoint &from, const peers::LedgerNote &note);
    void handleAnswer(const peers::LedgerNote &note);
    void answer(const Endpoint &to, std::int64_t id, peers::LedgerOutcome::type outcome,
                const ReplicaId &promptReplica = ReplicaId());
    void recordLocation(const ProgramId &program, const PromptLocation &location);

    const Clock &m_clock;
    Timers &m_timers;
    ProgramLedger &m_ledger;
    BudgetGrants &m_grants;
    const VmDirectory &m_vms;
    const BudgetLenders *m_lenders = nullptr;
    Send m_send;
    PromptLocations m_locations;
    std::map<std::int64_t, PendingRequest> m_pendingRequests;
    std::map<std::int64_t, PendingSettlement> m_settlements;
    std::map<AttemptId, ReservationHolder> m_holders;
    /** By the incarnations of the holders, oldest first. */
    std::map<std::string, std::deque<AcknowledgedSettlement>> m_acknowledged;
    std::int64_t m_nextId = 1;
    std::atomic<std::uint64_t> m_forwardedRequests = 0;
    std::atomic<std::uint64_t> m_localFallbacks = 0;
};

} // namespace boragepath
