#include "control/ledger_relay.h"

#include <algorithm>
#include <utility>

namespace boragepath {

namespace {

/** Several round trips between zones; a VM that lives has taken the note by then. */
constexpr Milliseconds TakenLimit{25};
/** Beyond a write to a slow store; then the other VM has likely died. */
constexpr Milliseconds OutcomeLimit{1'600};
constexpr Milliseconds SettledLimit{150};

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

peers::LedgerOutcome::type outcomeOf(Reservation reservation)
{
    switch (reservation) {
    case Reservation::Granted:
        return peers::LedgerOutcome::GRANTED;
    case Reservation::BudgetSpent:
        return peers::LedgerOutcome::SPENT;
    case Reservation::StoreAway:
        break;
    }
    return peers::LedgerOutcome::AWAY;
}

} // namespace

LedgerRelay::LedgerRelay(const Clock &clock, Timers &timers, ProgramLedger &ledger,
                         const VmDirectory &vms, Send send)
    : m_clock(clock)
    , m_timers(timers)
    , m_ledger(ledger)
    , m_vms(vms)
    , m_send(std::move(send))
{ }

void LedgerRelay::reserve(const TurnClaim &claim, SteadyTime deadline,
                          std::function<void(Reservation)> done)
{
    const std::optional<Endpoint> meeting = m_vms.meetingPoint(claim.program.value());
    if (!meeting.has_value()) {
        m_ledger.reserve(claim, deadline, std::move(done));
        return;
    }
    const std::int64_t id = m_nextId++;
    m_questions[id] = {claim, deadline, std::move(done), false};
    peers::LedgerNote note = noteOf(id, peers::LedgerNoteKind::RESERVE);
    note.program = claim.program.value();
    note.turn = claim.turn.value();
    note.budget = claim.budget;
    note.tokens = claim.most;
    note.patienceMillis = static_cast<std::int32_t>(millisOf(deadline - m_clock.now()));
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
    TurnClaim claim = question.claim;
    claim.turn = ownNameOf(turn);
    claim.replaces = turn;
    m_ledger.reserve(claim, question.deadline,
                     [this, claim, turn, done = std::move(question.done)](Reservation reservation) {
                         if (reservation == Reservation::Granted) {
                             m_ownReservations.insert(turn);
                         } else {
                             // The other VM may still reserve for a turn that is refused here.
                             m_ledger.settle({claim.program, turn, 0});
                         }
                         done(reservation);
                     });
}

void LedgerRelay::settle(const TurnSettlement &settlement)
{
    if (m_ownReservations.erase(settlement.turn) > 0) {
        m_ledger.settle({settlement.program, ownNameOf(settlement.turn), settlement.tokens});
        return;
    }
    const std::optional<Endpoint> meeting = m_vms.meetingPoint(settlement.program.value());
    if (!meeting.has_value()) {
        m_ledger.settle(settlement);
        return;
    }
    const std::int64_t id = m_nextId++;
    m_settlements[id] = settlement;
    peers::LedgerNote note = noteOf(id, peers::LedgerNoteKind::SETTLE);
    note.program = settlement.program.value();
    note.turn = settlement.turn.value();
    note.tokens = settlement.tokens;
    m_send(*meeting, note);
    m_timers.after(SettledLimit, [this, id] {
        const auto found = m_settlements.extract(id);
        if (!found.empty()) {
            m_ledger.settle(found.mapped());
        }
    });
}

void LedgerRelay::answer(const Endpoint &to, std::int64_t id, peers::LedgerOutcome::type outcome)
{
    peers::LedgerNote note = noteOf(id, peers::LedgerNoteKind::ANSWER);
    note.outcome = outcome;
    m_send(to, note);
}

void LedgerRelay::hear(const Endpoint &from, const peers::LedgerNote &note)
{
    if (note.kind == peers::LedgerNoteKind::RESERVE) {
        answer(from, note.id, peers::LedgerOutcome::TAKEN);
        const TurnClaim claim{ProgramId(note.program), AttemptId(note.turn), note.budget,
                              note.tokens};
        const SteadyTime deadline = m_clock.now() + Milliseconds(note.patienceMillis);
        m_ledger.reserve(claim, deadline, [this, from, id = note.id](Reservation reservation) {
            answer(from, id, outcomeOf(reservation));
        });
        return;
    }
    if (note.kind == peers::LedgerNoteKind::SETTLE) {
        answer(from, note.id, peers::LedgerOutcome::TAKEN);
        m_ledger.settle({ProgramId(note.program), AttemptId(note.turn), note.tokens});
        return;
    }
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
    const auto done = std::move(found->second.done);
    m_questions.erase(found);
    done(note.outcome == peers::LedgerOutcome::GRANTED ? Reservation::Granted
                                                       : Reservation::BudgetSpent);
}

} // namespace boragepath
