#include "control/program_ledger.h"

#include "control/backoff.h"
#include "core/logging.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace boragepath {

namespace {

/** Settlements wait this long for a later turn; refusals for the budget count them at their most.
 */
constexpr Milliseconds SettlementDelay{400};
/** Records kept for programs without changes under way; each is about 200 bytes. */
constexpr std::size_t MaxIdlePrograms = 2'000;
/** Settlements that may wait for the store; beyond it no new turn is begun. */
constexpr std::size_t MaxPending = 4'000;
constexpr std::size_t MaxChangesAtOnce = 32;

/** What a claim reserves: a grant takes at most half of what is left, if that will do. */
std::int64_t amountFor(const ReservationRequest &claim, const ProgramRecord &record)
{
    if (claim.least == 0) {
        return claim.most;
    }
    const std::int64_t left = claim.budget - committedTokens(record);
    return std::max(claim.least, std::min(claim.most, left / 2));
}

} // namespace

ProgramLedger::ProgramLedger(const Clock &clock, Timers &timers, RowStore &store,
                             StoreHealth &health, std::uint64_t seed)
    : m_clock(clock)
    , m_timers(timers)
    , m_store(store)
    , m_health(health)
    , m_random(seed)
{ }

void ProgramLedger::reserve(const ReservationRequest &claim, SteadyTime deadline,
                            std::function<void(ReservationResult)> done)
{
    if (m_health.unavailable() || m_pending >= MaxPending) {
        done(ReservationResult::StoreUnavailable);
        return;
    }
    Change change;
    change.claim = claim;
    change.deadline = deadline;
    change.reserved = std::move(done);
    Program &program = m_programs[claim.program];
    if (!program.busy) {
        // Other VMs may have changed the row since it was last seen.
        program.fresh = false;
    }
    program.queue.push_back(std::move(change));
    m_pending += 1;
    pump(claim.program);
}

void ProgramLedger::settle(const TurnSettlement &settlement)
{
    Change change;
    change.settles = true;
    change.settlement = settlement;
    change.deadline = SteadyTime::max();
    change.queuedAt = m_clock.now();
    Program &program = m_programs[settlement.program];
    program.queue.push_back(std::move(change));
    m_pending += 1;
    if (!program.busy) {
        planFlush(settlement.program, program);
    }
}

/** Sends settlements that no later turn has taken along in time. */
void ProgramLedger::planFlush(const ProgramId &id, Program &program)
{
    if (program.flushPlanned || program.queue.empty()) {
        return;
    }
    program.flushPlanned = true;
    const SteadyTime due = program.queue.front().queuedAt + SettlementDelay;
    m_timers.after(due - m_clock.now(), [this, id] {
        const auto found = m_programs.find(id);
        if (found == m_programs.end()) {
            return;
        }
        found->second.flushPlanned = false;
        pump(id);
    });
}

std::int64_t ProgramLedger::reservedFor(const ProgramId &program, const AttemptId &turn) const
{
    const auto found = m_programs.find(program);
    if (found == m_programs.end()) {
        return 0;
    }
    const auto reserved = found->second.record.reserved.find(turn);
    return reserved == found->second.record.reserved.end() ? 0 : reserved->second;
}

void ProgramLedger::flush()
{
    std::vector<ProgramId> waiting;
    for (const auto &[id, program] : m_programs) {
        if (!program.queue.empty()) {
            waiting.push_back(id);
        }
    }
    for (const ProgramId &id : waiting) {
        pump(id, true);
    }
}

bool ProgramLedger::isUrgent(const Change &change) const
{
    return !change.settles || m_clock.now() >= change.queuedAt + SettlementDelay;
}

void ProgramLedger::pump(const ProgramId &id, bool withoutWaiting)
{
    Program &program = m_programs[id];
    program.lastUse = m_clock.now();
    if (program.busy) {
        return;
    }
    // Busy while callbacks run, so that none of them can drop this program.
    program.busy = true;
    dropOverdue(program);
    if (program.queue.empty()) {
        program.busy = false;
        forgetIdle();
        return;
    }
    const bool urgent = withoutWaiting
        || std::any_of(program.queue.begin(), program.queue.end(),
                       [this](const Change &change) { return isUrgent(change); });
    if (!urgent) {
        program.busy = false;
        planFlush(id, program);
        return;
    }
    send(id, program);
}

void ProgramLedger::dropOverdue(Program &program)
{
    std::list<Change> overdue;
    for (auto change = program.queue.begin(); change != program.queue.end();) {
        const auto next = std::next(change);
        if (m_clock.now() >= change->deadline) {
            overdue.splice(overdue.end(), program.queue, change);
        }
        change = next;
    }
    for (Change &change : overdue) {
        if (change.mayBeDone) {
            // The reservation may be in the row, or get there late: give it back.
            Change release;
            release.settles = true;
            release.settlement = {change.claim.program, change.claim.turn, 0};
            release.deadline = SteadyTime::max();
            program.queue.push_back(std::move(release));
            m_pending += 1;
        }
        finish(change, ReservationResult::StoreUnavailable);
    }
}

void ProgramLedger::refuse(Change &change, const Program &program)
{
    LogLine("budget")
        .add("request", change.claim.turn.value())
        .add("program", change.claim.program.value())
        .add("committed", committedTokens(program.record))
        .add("budget", change.claim.budget)
        .add("most", change.claim.most)
        .add("row_version", static_cast<std::int64_t>(program.version.value()))
        .add("outcome", "spent")
        .info();
    finish(change, ReservationResult::BudgetExhausted);
}

void ProgramLedger::finish(Change &change, ReservationResult reservation)
{
    m_pending -= 1;
    if (!change.settles) {
        change.reserved(reservation);
    }
}

/** Applies @p change to @p record, which holds the changes before it, if it is to be written. */
ProgramLedger::Fate ProgramLedger::apply(const Change &change, const Program &program,
                                         ProgramRecord &record)
{
    const AttemptId &turn = change.settles ? change.settlement.turn : change.claim.turn;
    if (isSettled(record, turn)) {
        return Fate::Done;
    }
    if (change.settles) {
        // Written even where no reservation stands: one that comes late fails on the version.
        settleTurn(record, turn, change.settlement.tokens);
        return Fate::Written;
    }
    if (program.record.reserved.contains(turn)) {
        return Fate::Done;
    }
    ProgramRecord changed = record;
    const ReservationRequest &claim = change.claim;
    if (!claim.replaces.value().empty() && !isSettled(changed, claim.replaces)) {
        settleTurn(changed, claim.replaces, claim.replacedTokens);
    }
    const std::int64_t needed = claim.least > 0 ? claim.least : claim.most;
    if (reserveTurn(changed, turn, amountFor(claim, changed), claim.budget)) {
        record = std::move(changed);
        return Fate::Written;
    }
    if (!program.fresh) {
        return Fate::Unclear;
    }
    return firmTokens(changed) + needed > claim.budget ? Fate::Refused : Fate::Blocked;
}

void ProgramLedger::send(const ProgramId &id, Program &program)
{
    ProgramRecord record = program.record;
    RowTransaction transaction;
    std::list<Change> sent;
    std::list<Change> done;
    std::list<Change> refused;
    std::list<Change> blocked;
    while (!program.queue.empty() && sent.size() < MaxChangesAtOnce) {
        const Fate fate = apply(program.queue.front(), program, record);
        if (fate == Fate::Unclear) {
            break;
        }
        std::list<Change> &goesTo = fate == Fate::Written ? sent
            : fate == Fate::Done                          ? done
            : fate == Fate::Blocked                       ? blocked
                                                          : refused;
        goesTo.splice(goesTo.end(), program.queue, program.queue.begin());
    }
    const bool mustRead = sent.empty() && done.empty() && refused.empty() && blocked.empty();
    for (Change &change : done) {
        finish(change, ReservationResult::Granted);
    }
    for (Change &change : refused) {
        refuse(change, program);
    }
    for (Change &change : blocked) {
        finish(change, ReservationResult::StoreUnavailable);
    }
    if (mustRead) {
        readAgain(id);
        return;
    }
    if (sent.empty()) {
        program.busy = false;
        pump(id);
        return;
    }
    transaction.conditions.push_back({programRow(id), program.version});
    transaction.puts.push_back({programRow(id), encodeProgramRecord(record)});
    const auto shared = std::make_shared<std::list<Change>>(std::move(sent));
    m_store.transact(std::move(transaction),
                     [this, id, shared, record](const TransactionResult &result) {
                         onTransaction(id, std::move(*shared), record, result);
                     });
}

void ProgramLedger::onTransaction(const ProgramId &id, std::list<Change> sent,
                                  const ProgramRecord &record, const TransactionResult &result)
{
    Program &program = m_programs[id];
    if (result.answer == StoreAnswer::Done) {
        program.record = record;
        program.version = result.version;
        program.fresh = true;
        program.failures = 0;
        program.busy = false;
        for (Change &change : sent) {
            finish(change, ReservationResult::Granted);
        }
        pump(id);
        return;
    }
    const bool unknown = result.answer == StoreAnswer::Unknown;
    for (Change &change : sent) {
        change.mayBeDone = change.mayBeDone || unknown;
    }
    program.queue.splice(program.queue.begin(), sent);
    if (result.answer == StoreAnswer::Conflict) {
        program.failures = 0;
        adopt(program, result.current, id);
        program.busy = false;
        pump(id);
        return;
    }
    pauseThenPump(id, unknown);
}

void ProgramLedger::adopt(Program &program, const std::vector<StoreRow> &rows, const ProgramId &id)
{
    program.fresh = true;
    program.record = {};
    program.version = RowRevision(0);
    const RowName name = programRow(id);
    for (const StoreRow &row : rows) {
        if (row.name == name && !row.removed) {
            // A row that cannot be read is this product's own and cannot occur; its
            // version still lets the next transaction replace it.
            program.record = decodeProgramRecord(row.value).value_or(ProgramRecord());
            program.version = row.version;
        }
    }
}

void ProgramLedger::pauseThenPump(const ProgramId &id, bool read)
{
    Program &program = m_programs[id];
    const Duration pause = jitteredBackoff(program.failures, m_random);
    program.failures += 1;
    m_timers.after(pause, [this, id, read] {
        if (read) {
            readAgain(id);
            return;
        }
        m_programs[id].busy = false;
        pump(id);
    });
}

void ProgramLedger::readAgain(const ProgramId &id)
{
    const RowName name = programRow(id);
    // Keys hold no blanks, so only this one lies between it and itself with a blank behind.
    const RowRange range{name.table, name.partition, name.key, name.key + " "};
    m_store.read(range, [this, id](const ReadResult &result) { onRead(id, result); });
}

void ProgramLedger::onRead(const ProgramId &id, const ReadResult &result)
{
    Program &program = m_programs[id];
    if (result.answer == StoreAnswer::Done) {
        program.failures = 0;
        adopt(program, result.rows, id);
        program.busy = false;
        pump(id);
        return;
    }
    // Whoever waits past its time is answered now, not when the store is back.
    dropOverdue(program);
    if (program.queue.empty()) {
        program.busy = false;
        return;
    }
    pauseThenPump(id, true);
}

void ProgramLedger::forgetIdle()
{
    if (m_programs.size() <= MaxIdlePrograms) {
        return;
    }
    auto oldest = m_programs.end();
    for (auto item = m_programs.begin(); item != m_programs.end(); ++item) {
        const bool idle = !item->second.busy && item->second.queue.empty();
        if (idle && (oldest == m_programs.end() || item->second.lastUse < oldest->second.lastUse)) {
            oldest = item;
        }
    }
    if (oldest != m_programs.end()) {
        m_programs.erase(oldest);
    }
}

} // namespace boragepath
