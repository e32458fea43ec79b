#include "control/ledger_relay.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace boragepath {

namespace {

/** Several round trips between zones; a VM that lives has taken the note by then. */
constexpr Milliseconds TakenLimit{25};
/** Beyond a write to a slow store; then the other VM has likely died. */
constexpr Milliseconds OutcomeLimit{1'600};
/** First pause before a settlement is told again; doubles up to the longest. */
constexpr Milliseconds FirstRepeat{150};
constexpr Milliseconds LongestRepeat{1'200};
/** Programs whose prompts are remembered; about 300 bytes each. */
constexpr std::size_t MaxLocations = 3'000;

peers::LedgerNote noteOf(std::int64_t id, peers::LedgerNoteKind::type kind)
{
    peers::LedgerNote note;
    note.id = id;
    note.kind = kind;
    return note;
}

/** The name of a reservation that this VM makes itself for a turn that another was asked about. */
AttemptId ownNameOf(const AttemptId &turn)
{
    return AttemptId(turn.value() + "/own");
}

peers::LedgerOutcome::type outcomeOf(ReservationResult reservation)
{
    switch (reservation) {
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

void LedgerRelay::reserve(const ReservationRequest &claim, const std::string &session,
                          SteadyTime deadline, Reserved done)
{
    const std::optional<Endpoint> meeting = m_vms.coordinatorFor(claim.program.value());
    if (!meeting.has_value()) {
        m_grants.reserve(
            claim, deadline,
            [this, claim, session, done = std::move(done)](ReservationResult reservation) {
                if (reservation == ReservationResult::Granted) {
                    m_reservers[claim.turn] = {};
                }
                done(reservation, m_locations.find(claim.program, session));
            });
        return;
    }
    const std::int64_t id = m_nextId++;
    m_questions[id] = {claim, deadline, std::move(done), *meeting, false};
    peers::LedgerNote note = noteOf(id, peers::LedgerNoteKind::RESERVE);
    note.program = claim.program.value();
    note.turn = claim.turn.value();
    note.budget = claim.budget;
    note.tokens = claim.most;
    note.session = session;
    note.patienceMillis = static_cast<std::int32_t>(toMillis(deadline - m_clock.now()));
    m_relayed += 1;
    m_send(*meeting, note);
    m_timers.after(TakenLimit, [this, id] {
        const auto found = m_questions.find(id);
        if (found != m_questions.end() && !found->second.taken) {
            fallBack(id);
        }
    });
    m_timers.after(OutcomeLimit, [this, id] { fallBack(id); });
}

void LedgerRelay::fallBack(std::int64_t id)
{
    auto found = m_questions.extract(id);
    if (found.empty()) {
        return;
    }
    m_fallbacks += 1;
    Question &question = found.mapped();
    const AttemptId turn = question.claim.turn;
    // It may have reserved, or do so yet; nothing will be handed out of that.
    tell(question.asked, {question.claim.program, turn, 0}, {});
    ReservationRequest claim = question.claim;
    claim.turn = ownNameOf(turn);
    m_ledger.reserve(claim, question.deadline,
                     [this, turn, done = std::move(question.done)](ReservationResult reservation) {
                         if (reservation == ReservationResult::Granted) {
                             m_reservers[turn] = {std::nullopt, true};
                         }
                         done(reservation, ReplicaId());
                     });
}

void LedgerRelay::settle(const TurnSettlement &settlement, const PromptLocation &place)
{
    const auto found = m_reservers.extract(settlement.turn);
    const Reserver reserver = found.empty() ? Reserver() : found.mapped();
    if (reserver.inRow) {
        m_ledger.settle({settlement.program, ownNameOf(settlement.turn), settlement.tokens});
        return;
    }
    if (reserver.vm.has_value()) {
        tell(*reserver.vm, settlement, place);
        return;
    }
    m_grants.settle(settlement);
    noteLocation(settlement.program, place);
}

void LedgerRelay::noteLocation(const ProgramId &program, const PromptLocation &place)
{
    if (!place.replica.value().empty()) {
        m_locations.note(program, place.session, place.replica);
    }
}

void LedgerRelay::tell(const Endpoint &to, const TurnSettlement &settlement,
                       const PromptLocation &place)
{
    const std::int64_t id = m_nextId++;
    peers::LedgerNote note = noteOf(id, peers::LedgerNoteKind::SETTLE);
    note.program = settlement.program.value();
    note.turn = settlement.turn.value();
    note.tokens = settlement.tokens;
    note.session = place.session;
    note.replica = place.replica.value();
    m_settlements[id] = {to, note, 0};
    sendSettlement(id);
}

void LedgerRelay::sendSettlement(std::int64_t id)
{
    const auto found = m_settlements.find(id);
    if (found == m_settlements.end()) {
        return;
    }
    Settlement &settlement = found->second;
    if (settlement.sent > 0 && !m_vms.isLiveAt(settlement.to)) {
        // What that VM reserved stands in the row, and counts as spent.
        m_settlements.erase(found);
        return;
    }
    m_send(settlement.to, settlement.note);
    const Milliseconds pause =
        std::min<Milliseconds>(FirstRepeat * (1 << std::min(settlement.sent, 3)), LongestRepeat);
    settlement.sent += 1;
    m_timers.after(pause, [this, id] { sendSettlement(id); });
}

void LedgerRelay::answer(const Endpoint &to, std::int64_t id, peers::LedgerOutcome::type outcome,
                         const ReplicaId &promptReplica)
{
    peers::LedgerNote note = noteOf(id, peers::LedgerNoteKind::ANSWER);
    note.outcome = outcome;
    note.replica = promptReplica.value();
    m_send(to, note);
}

void LedgerRelay::hearReserve(const Endpoint &from, const peers::LedgerNote &note)
{
    const ReservationRequest claim{ProgramId(note.program), AttemptId(note.turn), note.budget,
                                   note.tokens};
    const SteadyTime deadline = m_clock.now() + Milliseconds(note.patienceMillis);
    const auto decided = std::make_shared<bool>(false);
    m_grants.reserve(claim, deadline,
                     [this, from, decided, id = note.id, program = claim.program,
                      session = note.session](ReservationResult reservation) {
                         *decided = true;
                         answer(from, id, outcomeOf(reservation),
                                m_locations.find(program, session));
                     });
    if (!*decided) {
        answer(from, note.id, peers::LedgerOutcome::TAKEN);
    }
}

void LedgerRelay::receive(const Endpoint &from, const peers::LedgerNote &note)
{
    if (note.kind == peers::LedgerNoteKind::RESERVE) {
        hearReserve(from, note);
        return;
    }
    if (note.kind == peers::LedgerNoteKind::SETTLE) {
        m_grants.settle({ProgramId(note.program), AttemptId(note.turn), note.tokens});
        noteLocation(ProgramId(note.program), {note.session, ReplicaId(note.replica)});
        answer(from, note.id, peers::LedgerOutcome::TAKEN);
        return;
    }
    hearAnswer(note);
}

void LedgerRelay::hearAnswer(const peers::LedgerNote &note)
{
    if (m_settlements.erase(note.id) > 0) {
        return;
    }
    const auto found = m_questions.find(note.id);
    if (found == m_questions.end()) {
        return;
    }
    if (note.outcome == peers::LedgerOutcome::TAKEN) {
        found->second.taken = true;
        return;
    }
    if (note.outcome == peers::LedgerOutcome::AWAY) {
        // That VM may be the one that is cut off; this one has its own path to the store.
        fallBack(note.id);
        return;
    }
    const Question question = std::move(found->second);
    m_questions.erase(found);
    if (note.outcome == peers::LedgerOutcome::GRANTED) {
        m_reservers[question.claim.turn] = {question.asked, false};
        question.done(ReservationResult::Granted, ReplicaId(note.replica));
        return;
    }
    question.done(ReservationResult::BudgetExhausted, ReplicaId());
}

} // namespace boragepath
