#include "control/ledger_relay.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace boragepath {

namespace {

/** Several round trips between zones; a VM that is alive has acknowledged the message by then. */
constexpr Milliseconds AcknowledgementTimeout{25};
/** Longer than a write to a slow store takes; after it the coordinator has probably failed. */
constexpr Milliseconds OutcomeTimeout{1'600};
/** First delay before a settlement is sent again; doubles up to MaxRetryDelay. */
constexpr Milliseconds FirstRetryDelay{150};
constexpr Milliseconds MaxRetryDelay{1'200};
/** The holder of a grant has written what it has acknowledged by then, unless the store is away. */
constexpr Milliseconds AcknowledgedLifetime{30'000};
constexpr Milliseconds AcknowledgedCheckInterval{500};
/** Of one holder; each takes some 150 bytes. */
constexpr std::size_t MaxAcknowledged = 1'000;
/** Programs whose prompt locations are remembered; each takes about 300 bytes. */
constexpr std::size_t MaxLocations = 3'000;

peers::LedgerNote makeNote(std::int64_t id, peers::LedgerNoteKind::type kind)
{
    peers::LedgerNote note;
    note.id = id;
    note.kind = kind;
    return note;
}

peers::LedgerOutcome::type outcomeOf(ReservationResult result)
{
    switch (result) {
    case ReservationResult::Granted:
        return peers::LedgerOutcome::GRANTED;
    case ReservationResult::BudgetExhausted:
        return peers::LedgerOutcome::SPENT;
    case ReservationResult::StoreUnavailable:
        break;
    }
    return peers::LedgerOutcome::AWAY;
}

} // namespace

LedgerRelay::LedgerRelay(const Clock &clock, Timers &timers, ProgramLedger &ledger,
                         BudgetGrants &grants, const VmDirectory &vms, Send send)
    : m_clock(clock)
    , m_timers(timers)
    , m_ledger(ledger)
    , m_grants(grants)
    , m_vms(vms)
    , m_send(std::move(send))
    , m_locations(MaxLocations)
{ }

std::optional<Endpoint> LedgerRelay::coordinatorFor(const ProgramId &program) const
{
    return m_lenders != nullptr ? m_lenders->coordinatorFor(program)
                                : m_vms.coordinatorFor(program.value());
}

void LedgerRelay::reserve(const ReservationRequest &request, const std::string &session,
                          SteadyTime deadline, ReserveCallback done)
{
    const std::optional<Endpoint> coordinator = coordinatorFor(request.program);
    if (!coordinator.has_value()) {
        m_grants.reserve(
            request, deadline,
            [this, request, session, done = std::move(done)](ReservationResult result) {
                if (result == ReservationResult::Granted) {
                    m_holders[request.turn] = {};
                }
                done(result, m_locations.find(request.program, session));
            });
        return;
    }
    const std::int64_t id = m_nextId++;
    const GrantHolder holder{*coordinator, m_vms.incarnationAt(*coordinator)};
    m_pendingRequests[id] = {request, deadline, std::move(done), holder, false};
    peers::LedgerNote note = makeNote(id, peers::LedgerNoteKind::RESERVE);
    note.program = request.program.value();
    note.turn = request.turn.value();
    note.budget = request.budget;
    note.tokens = request.maxTokens;
    note.session = session;
    note.__set_mayBorrow(request.mayBorrow);
    note.patienceMillis = static_cast<std::int32_t>(toMillis(deadline - m_clock.now()));
    m_forwardedRequests += 1;
    m_send(*coordinator, note);
    m_timers.after(AcknowledgementTimeout, [this, id] {
        const auto found = m_pendingRequests.find(id);
        if (found != m_pendingRequests.end() && !found->second.acknowledged) {
            fallBackToStore(id);
        }
    });
    m_timers.after(OutcomeTimeout, [this, id] { fallBackToStore(id); });
}

void LedgerRelay::fallBackToStore(std::int64_t id)
{
    auto found = m_pendingRequests.extract(id);
    if (found.empty()) {
        return;
    }
    m_localFallbacks += 1;
    PendingRequest &pending = found.mapped();
    const AttemptId turn = pending.request.turn;
    // The coordinator may have reserved, or may still do so; releases that reservation.
    queueSettlement(pending.coordinator, {pending.request.program, turn, 0}, {});
    ReservationRequest request = pending.request;
    request.turn = ownReservationId(turn);
    m_ledger.reserve(request, pending.deadline,
                     [this, turn, done = std::move(pending.done)](ReservationResult result) {
                         if (result == ReservationResult::Granted) {
                             m_holders[turn] = {std::nullopt, true};
                         }
                         done(result, ReplicaId());
                     });
}

void LedgerRelay::settle(const TurnSettlement &settlement, const PromptLocation &location)
{
    const auto found = m_holders.extract(settlement.turn);
    const ReservationHolder holder = found.empty() ? ReservationHolder() : found.mapped();
    if (holder.reservedInStore) {
        m_ledger.settle({settlement.program, ownReservationId(settlement.turn), settlement.tokens});
        return;
    }
    if (holder.vm.has_value()) {
        queueSettlement(*holder.vm, settlement, location);
        return;
    }
    m_grants.settle(settlement);
    recordLocation(settlement.program, location);
}

void LedgerRelay::recordLocation(const ProgramId &program, const PromptLocation &location)
{
    if (!location.replica.value().empty()) {
        m_locations.note(program, location.session, location.replica);
    }
}

bool LedgerRelay::isLost(const GrantHolder &holder) const
{
    return m_vms.isReplaced(holder.incarnation) || !m_vms.isLiveAt(holder.address);
}

void LedgerRelay::settleInRow(TurnSettlement settlement, bool mayBeSettled)
{
    settlement.turn = grantedTurnId(settlement.turn);
    settlement.mayBeSettled = mayBeSettled;
    m_ledger.settle(settlement);
}

void LedgerRelay::keepAcknowledged(const PendingSettlement &settlement)
{
    if (settlement.to.incarnation.empty()) {
        return;
    }
    if (m_acknowledged.empty()) {
        m_timers.after(AcknowledgedCheckInterval, [this] { checkAcknowledged(); });
    }
    std::deque<AcknowledgedSettlement> &kept = m_acknowledged[settlement.to.incarnation];
    const peers::LedgerNote &note = settlement.note;
    kept.push_back({{ProgramId(note.program), AttemptId(note.turn), note.tokens}, m_clock.now()});
    if (kept.size() > MaxAcknowledged) {
        kept.pop_front();
    }
}

void LedgerRelay::checkAcknowledged()
{
    const SteadyTime now = m_clock.now();
    for (auto holder = m_acknowledged.begin(); holder != m_acknowledged.end();) {
        std::deque<AcknowledgedSettlement> &kept = holder->second;
        while (!kept.empty() && now >= kept.front().at + AcknowledgedLifetime) {
            kept.pop_front();
        }
        if (!m_vms.findLive(holder->first).has_value()) {
            for (const AcknowledgedSettlement &item : kept) {
                settleInRow(item.settlement, true);
            }
            kept.clear();
        }
        holder = kept.empty() ? m_acknowledged.erase(holder) : std::next(holder);
    }
    if (!m_acknowledged.empty()) {
        m_timers.after(AcknowledgedCheckInterval, [this] { checkAcknowledged(); });
    }
}

void LedgerRelay::queueSettlement(const GrantHolder &to, const TurnSettlement &settlement,
                                  const PromptLocation &location)
{
    const std::int64_t id = m_nextId++;
    peers::LedgerNote note = makeNote(id, peers::LedgerNoteKind::SETTLE);
    note.program = settlement.program.value();
    note.turn = settlement.turn.value();
    note.tokens = settlement.tokens;
    note.session = location.session;
    note.replica = location.replica.value();
    m_settlements[id] = {to, note, 0};
    sendSettlement(id);
}

void LedgerRelay::sendSettlement(std::int64_t id)
{
    const auto found = m_settlements.find(id);
    if (found == m_settlements.end()) {
        return;
    }
    PendingSettlement &settlement = found->second;
    const bool isReplaced = m_vms.isReplaced(settlement.to.incarnation);
    if (isReplaced || (settlement.attempts > 0 && isLost(settlement.to))) {
        const peers::LedgerNote note = settlement.note;
        m_settlements.erase(found);
        settleInRow({ProgramId(note.program), AttemptId(note.turn), note.tokens}, false);
        return;
    }
    m_send(settlement.to.address, settlement.note);
    const Milliseconds pause = std::min<Milliseconds>(
        FirstRetryDelay * (1 << std::min(settlement.attempts, 3)), MaxRetryDelay);
    settlement.attempts += 1;
    m_timers.after(pause, [this, id] { sendSettlement(id); });
}

void LedgerRelay::answer(const Endpoint &to, std::int64_t id, peers::LedgerOutcome::type outcome,
                         const ReplicaId &promptReplica)
{
    peers::LedgerNote note = makeNote(id, peers::LedgerNoteKind::ANSWER);
    note.outcome = outcome;
    note.replica = promptReplica.value();
    m_send(to, note);
}

void LedgerRelay::handleReserve(const Endpoint &from, const peers::LedgerNote &note)
{
    ReservationRequest request{ProgramId(note.program), AttemptId(note.turn), note.budget,
                               note.tokens};
    request.mayBorrow = note.__isset.mayBorrow && note.mayBorrow;
    const SteadyTime deadline = m_clock.now() + Milliseconds(note.patienceMillis);
    const auto answered = std::make_shared<bool>(false);
    m_grants.reserve(request, deadline,
                     [this, from, answered, id = note.id, program = request.program,
                      session = note.session](ReservationResult result) {
                         *answered = true;
                         answer(from, id, outcomeOf(result), m_locations.find(program, session));
                     });
    if (!*answered) {
        answer(from, note.id, peers::LedgerOutcome::TAKEN);
    }
}

void LedgerRelay::receive(const Endpoint &from, const peers::LedgerNote &note)
{
    if (note.kind == peers::LedgerNoteKind::RESERVE) {
        handleReserve(from, note);
        return;
    }
    if (note.kind == peers::LedgerNoteKind::SETTLE) {
        m_grants.settle({ProgramId(note.program), AttemptId(note.turn), note.tokens});
        recordLocation(ProgramId(note.program), {note.session, ReplicaId(note.replica)});
        answer(from, note.id, peers::LedgerOutcome::TAKEN);
        return;
    }
    handleAnswer(note);
}

void LedgerRelay::handleAnswer(const peers::LedgerNote &note)
{
    const auto settlement = m_settlements.find(note.id);
    if (settlement != m_settlements.end()) {
        keepAcknowledged(settlement->second);
        m_settlements.erase(settlement);
        return;
    }
    const auto found = m_pendingRequests.find(note.id);
    if (found == m_pendingRequests.end()) {
        return;
    }
    if (note.outcome == peers::LedgerOutcome::TAKEN) {
        found->second.acknowledged = true;
        return;
    }
    if (note.outcome == peers::LedgerOutcome::AWAY) {
        // Perhaps only the coordinator is cut off from the store, so this VM tries it directly.
        fallBackToStore(note.id);
        return;
    }
    const PendingRequest pending = std::move(found->second);
    m_pendingRequests.erase(found);
    if (note.outcome == peers::LedgerOutcome::GRANTED) {
        m_holders[pending.request.turn] = {pending.coordinator, false};
        pending.done(ReservationResult::Granted, ReplicaId(note.replica));
        return;
    }
    pending.done(ReservationResult::BudgetExhausted, ReplicaId());
}

} // namespace boragepath
