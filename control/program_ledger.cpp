#include "control/program_ledger.h"

#include "control/backoff.h"
#include "control/outage/budget_split.h"
#include "core/logging.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace boragepath {

namespace {

/**
 * A settlement waits this long for a later turn's transaction that it can join. Until it is
 * written, budget checks count the turn at its maximum.
 */
constexpr Milliseconds SettlementDelay{400};
/** Programs without pending changes whose records stay cached; each takes about 200 bytes. */
constexpr std::size_t MaxIdlePrograms = 2'000;
/** With this many changes pending, new reservations are refused. */
constexpr std::size_t MaxPendingChanges = 4'000;
constexpr std::size_t MaxChangesPerTransaction = 32;

/** Tokens that a VM may still reserve of a budget; all if there is no budget. */
std::int64_t tokensLeft(const ReservationRequest &request, const ProgramRecord &record,
                        bool isRestricted)
{
    const std::int64_t left = request.budget - committedTokens(record);
    if (!isRestricted || request.budget == NoTokenBudget) {
        return left;
    }
    const std::int64_t maxTurnTokens =
        request.maxTurnTokens > 0 ? request.maxTurnTokens : request.maxTokens;
    const BudgetSplit split = splitBudget(request.budget, maxTurnTokens);
    return std::min(left, split.restricted - restrictedTokens(record));
}

/** Part of the remaining budget that a grant for stored turns may hold for later ones. */
constexpr std::int64_t StoredTurnsGrantDivisor = 8;

/**
 * Tokens to reserve for a request. A grant takes at most half of the remaining budget, unless its
 * minimum is more. One for stored turns takes less: what it holds for later ones is withheld from
 * the program if the VM is lost, and those need the store at their end anyway.
 */
std::int64_t tokensToReserve(const ReservationRequest &request, std::int64_t left)
{
    if (request.minTokens == 0) {
        return request.maxTokens;
    }
    if (request.mayBorrow) {
        return std::max(request.minTokens, std::min(request.maxTokens, left / 2));
    }
    const std::int64_t forLater =
        std::max<std::int64_t>(0, left - request.minTokens) / StoredTurnsGrantDivisor;
    // Less than a whole turn would be withheld in vain.
    const std::int64_t maxTurnTokens = std::max<std::int64_t>(1, request.maxTurnTokens);
    const std::int64_t wholeTurns = forLater / maxTurnTokens * maxTurnTokens;
    return std::min(request.minTokens + wholeTurns, request.maxTokens);
}

/** Divides @p tokens of a grant between its turns and the rest, which later turns may use. */
void addGrant(ProgramRecord &record, const ReservationRequest &request, std::int64_t tokens,
              bool isRestricted)
{
    std::int64_t rest = tokens;
    for (const GrantedTurn &turn : request.grantedTurns) {
        const AttemptId id = grantedTurnId(turn.turn);
        record.reserved[id] = turn.maxTokens;
        rest -= turn.maxTokens;
        if (isRestricted) {
            record.restricted.insert(id);
        }
    }
    record.reserved[request.turn] = rest;
    if (isRestricted) {
        record.restricted.insert(request.turn);
    }
}

/** Tokens of a settlement that the row has no reservation for. */
std::int64_t unreservedTokens(const TurnSettlement &settlement, const ProgramRecord &record)
{
    if (isSettled(record, settlement.turn) || isGrantedTurnId(settlement.turn)) {
        return 0;
    }
    const auto reserved = record.reserved.find(settlement.turn);
    const std::int64_t covered = reserved == record.reserved.end() ? 0 : reserved->second;
    return std::max<std::int64_t>(0, settlement.tokens - covered);
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

void ProgramLedger::reserve(const ReservationRequest &request, SteadyTime deadline,
                            std::function<void(ReservationResult)> done)
{
    if (m_health.unavailable() || m_pending >= MaxPendingChanges) {
        done(ReservationResult::StoreUnavailable);
        return;
    }
    Change change;
    change.request = request;
    change.deadline = deadline;
    change.onReserved = std::move(done);
    m_pendingReservations += 1;
    Program &program = m_programs[request.program];
    if (!program.busy) {
        // Other VMs may have changed the row since this VM last saw it.
        program.fresh = false;
    }
    program.queue.push_back(std::move(change));
    m_pending += 1;
    processQueue(request.program);
}

void ProgramLedger::settle(const TurnSettlement &settlement)
{
    Change change;
    change.settles = true;
    change.settlement = settlement;
    change.deadline = SteadyTime::max();
    change.queuedAt = m_clock.now();
    Program &program = m_programs[settlement.program];
    if (settlement.mayBeSettled && !program.busy) {
        program.fresh = false;
    }
    program.queue.push_back(std::move(change));
    m_pending += 1;
    if (!program.busy) {
        scheduleFlush(settlement.program, program);
    }
}

/** Sets a timer that sends queued settlements if no later turn's transaction includes them. */
void ProgramLedger::scheduleFlush(const ProgramId &id, Program &program)
{
    if (program.flushScheduled || program.queue.empty()) {
        return;
    }
    program.flushScheduled = true;
    const SteadyTime due = program.queue.front().queuedAt + SettlementDelay;
    m_timers.after(due - m_clock.now(), [this, id] {
        const auto found = m_programs.find(id);
        if (found == m_programs.end()) {
            return;
        }
        found->second.flushScheduled = false;
        processQueue(id);
    });
}

void ProgramLedger::setAuthority(std::function<BudgetAuthority(const ProgramId &)> authorityOver)
{
    m_authorityOver = std::move(authorityOver);
}

void ProgramLedger::setTenureLog(std::function<void(const ProgramId &, LogLine &)> describeTenure)
{
    m_describeTenure = std::move(describeTenure);
}

std::int64_t ProgramLedger::committedBesides(const ProgramId &program,
                                             const AttemptId &besides) const
{
    const auto found = m_programs.find(program);
    if (found == m_programs.end()) {
        return 0;
    }
    const Program &known = found->second;
    return committedTokens(known.record) - reservedFor(program, besides)
        + unreservedSettlements(known);
}

std::int64_t ProgramLedger::unreservedSettlements(const Program &program)
{
    std::int64_t total = program.unreservedInFlight;
    for (const Change &change : program.queue) {
        total += change.settles ? unreservedTokens(change.settlement, program.record) : 0;
    }
    return total;
}

bool ProgramLedger::hasOnlyStoredTurns(const ProgramId &program) const
{
    const auto found = m_programs.find(program);
    if (found == m_programs.end()) {
        return false;
    }
    const ProgramTurns turns = found->second.record.turns;
    return turns == ProgramTurns::StoredOnly || turns == ProgramTurns::StoredUnconfirmed;
}

bool ProgramLedger::hasTurnsThatBorrow(const ProgramId &program) const
{
    const auto found = m_programs.find(program);
    return found != m_programs.end() && found->second.record.turns == ProgramTurns::Any;
}

std::vector<ProgramId> ProgramLedger::programsUsedSince(BootTime time) const
{
    std::vector<ProgramId> programs;
    for (const auto &[id, program] : m_programs) {
        if (program.busy || program.lastUsedAt >= time) {
            programs.push_back(id);
        }
    }
    return programs;
}

std::optional<BootTime> ProgramLedger::rowSeenAt(const ProgramId &program) const
{
    const auto found = m_programs.find(program);
    return found == m_programs.end() ? std::nullopt : found->second.rowSeenAt;
}

bool ProgramLedger::isSettlingLoans() const
{
    return std::any_of(m_programs.begin(), m_programs.end(),
                       [](const auto &item) { return unreservedSettlements(item.second) > 0; });
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
        processQueue(id, true);
    }
}

bool ProgramLedger::isUrgent(const Change &change) const
{
    return !change.settles || m_clock.now() >= change.queuedAt + SettlementDelay;
}

void ProgramLedger::processQueue(const ProgramId &id, bool sendNow)
{
    Program &program = m_programs[id];
    program.lastUsed = m_clock.now();
    program.lastUsedAt = m_clock.bootNow();
    if (program.busy) {
        return;
    }
    // Stays busy while callbacks run, so that none of them can evict this program.
    program.busy = true;
    failOverdueChanges(program);
    if (program.queue.empty()) {
        program.busy = false;
        evictIdleProgram();
        return;
    }
    const bool urgent = sendNow
        || std::any_of(program.queue.begin(), program.queue.end(),
                       [this](const Change &change) { return isUrgent(change); });
    if (!urgent) {
        program.busy = false;
        scheduleFlush(id, program);
        return;
    }
    send(id, program);
}

void ProgramLedger::failOverdueChanges(Program &program)
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
        if (change.mayBeApplied) {
            // The reservation may be in the row, or reach it late, so it must be released.
            Change release;
            release.settles = true;
            release.settlement = {change.request.program, change.request.turn, 0};
            release.deadline = SteadyTime::max();
            program.queue.push_back(std::move(release));
            m_pending += 1;
        }
        completeChange(change, ReservationResult::StoreUnavailable);
    }
}

void ProgramLedger::refuseOverBudget(Change &change, const Program &program)
{
    LogLine("budget")
        .add("request", change.request.turn.value())
        .add("program", change.request.program.value())
        .add("committed", committedTokens(program.record))
        .add("budget", change.request.budget)
        .add("most", change.request.maxTokens)
        .add("row_version", static_cast<std::int64_t>(program.version.value()))
        .add("outcome", "spent")
        .info();
    completeChange(change, ReservationResult::BudgetExhausted);
}

void ProgramLedger::refuseForNow(Change &change, const Program &program)
{
    LogLine line("budget");
    line.add("request", change.request.turn.value())
        .add("program", change.request.program.value())
        .add("committed", committedTokens(program.record))
        .add("restricted", restrictedTokens(program.record))
        .add("budget", change.request.budget)
        .add("most", change.request.maxTokens)
        .add("row_version", static_cast<std::int64_t>(program.version.value()));
    if (m_describeTenure != nullptr) {
        m_describeTenure(change.request.program, line);
    }
    line.add("outcome", "withheld").info();
    completeChange(change, ReservationResult::StoreUnavailable);
}

void ProgramLedger::completeChange(Change &change, ReservationResult result)
{
    m_pending -= 1;
    if (!change.settles) {
        m_pendingReservations -= 1;
        change.onReserved(result);
    }
}

bool ProgramLedger::isRestricted(const ReservationRequest &request,
                                 const ProgramRecord &record) const
{
    const BudgetAuthority authority =
        m_authorityOver == nullptr ? BudgetAuthority::Whole : m_authorityOver(request.program);
    switch (authority) {
    case BudgetAuthority::Restricted:
        break;
    case BudgetAuthority::WholeOfStoredRows:
        return request.mayBorrow || record.turns != ProgramTurns::StoredOnly;
    case BudgetAuthority::WholeOfStoredTurns:
        return request.mayBorrow || record.turns == ProgramTurns::Any;
    case BudgetAuthority::Whole:
        return false;
    }
    return true;
}

/**
 * Decides what to do with @p change, and applies it to @p record if it is to be written.
 * @p record already contains the changes before it in the same transaction.
 */
ProgramLedger::ChangeAction ProgramLedger::apply(const Change &change, const Program &program,
                                                 ProgramRecord &record) const
{
    const AttemptId &turn = change.settles ? change.settlement.turn : change.request.turn;
    if (isSettled(record, turn)) {
        return ChangeAction::AlreadyApplied;
    }
    if (change.settles && change.settlement.mayBeSettled && !record.reserved.contains(turn)) {
        return program.fresh ? ChangeAction::AlreadyApplied : ChangeAction::NeedsRead;
    }
    if (change.settles) {
        // Written even if the row has no reservation for the turn: the new version makes a
        // reservation fail that is still on its way to the store.
        settleTurn(record, turn, change.settlement.tokens);
        return ChangeAction::Write;
    }
    if (program.record.reserved.contains(turn)) {
        return ChangeAction::AlreadyApplied;
    }
    ProgramRecord changed = record;
    const ReservationRequest &request = change.request;
    if (!request.replaces.value().empty() && !isSettled(changed, request.replaces)) {
        settleTurn(changed, request.replaces, request.replacedSpent);
    }
    for (const TurnSettlement &ended : request.endedTurns) {
        if (changed.reserved.contains(ended.turn)) {
            settleTurn(changed, ended.turn, ended.tokens);
        }
    }
    const std::int64_t needed = request.minTokens > 0 ? request.minTokens : request.maxTokens;
    const bool restricted = isRestricted(request, changed);
    const std::int64_t left = tokensLeft(request, changed, restricted);
    const std::int64_t tokens = tokensToReserve(request, left);
    if (tokens <= left && committedTokens(changed) + tokens <= request.budget) {
        noteTurn(changed, request.mayBorrow, !restricted);
        // What replaces a reservation of a restricted VM may cover turns that this one allowed.
        const bool staysRestricted = restricted || record.restricted.contains(request.replaces);
        addGrant(changed, request, tokens, staysRestricted);
        record = std::move(changed);
        return ChangeAction::Write;
    }
    if (!program.fresh) {
        return ChangeAction::NeedsRead;
    }
    const std::int64_t certainlyNeeded =
        tokensCertainlyUsed(changed) + needed - request.uncertainTokens;
    return certainlyNeeded > request.budget ? ChangeAction::Refuse : ChangeAction::Blocked;
}

void ProgramLedger::send(const ProgramId &id, Program &program)
{
    ProgramRecord record = program.record;
    RowTransaction transaction;
    std::list<Change> sent;
    std::list<Change> done;
    std::list<Change> refused;
    std::list<Change> blocked;
    while (!program.queue.empty() && sent.size() < MaxChangesPerTransaction) {
        const ChangeAction action = apply(program.queue.front(), program, record);
        if (action == ChangeAction::NeedsRead) {
            break;
        }
        std::list<Change> &destination = action == ChangeAction::Write ? sent
            : action == ChangeAction::AlreadyApplied                   ? done
            : action == ChangeAction::Blocked                          ? blocked
                                                                       : refused;
        destination.splice(destination.end(), program.queue, program.queue.begin());
    }
    const bool mustRead = sent.empty() && done.empty() && refused.empty() && blocked.empty();
    for (Change &change : done) {
        completeChange(change, ReservationResult::Granted);
    }
    for (Change &change : refused) {
        refuseOverBudget(change, program);
    }
    for (Change &change : blocked) {
        refuseForNow(change, program);
    }
    if (mustRead) {
        readRow(id);
        return;
    }
    if (sent.empty()) {
        program.busy = false;
        processQueue(id);
        return;
    }
    transaction.conditions.push_back({programRow(id), program.version});
    transaction.puts.push_back({programRow(id), encodeProgramRecord(record)});
    for (const Change &change : sent) {
        program.unreservedInFlight +=
            change.settles ? unreservedTokens(change.settlement, program.record) : 0;
    }
    const auto sentChanges = std::make_shared<std::list<Change>>(std::move(sent));
    const BootTime sentAt = m_clock.bootNow();
    m_store.transact(std::move(transaction),
                     [this, id, sentChanges, record, sentAt](const TransactionResult &result) {
                         onTransaction(id, std::move(*sentChanges), record, sentAt, result);
                     });
}

void ProgramLedger::onTransaction(const ProgramId &id, std::list<Change> sent,
                                  const ProgramRecord &record, BootTime sentAt,
                                  const TransactionResult &result)
{
    Program &program = m_programs[id];
    program.unreservedInFlight = 0;
    if (result.answer == StoreAnswer::Done || result.answer == StoreAnswer::Conflict) {
        program.rowSeenAt = sentAt;
    }
    if (result.answer == StoreAnswer::Done) {
        program.record = record;
        program.version = result.version;
        program.fresh = true;
        program.failures = 0;
        program.busy = false;
        for (Change &change : sent) {
            completeChange(change, ReservationResult::Granted);
        }
        processQueue(id);
        return;
    }
    const bool unknown = result.answer == StoreAnswer::Unknown;
    for (Change &change : sent) {
        change.mayBeApplied = change.mayBeApplied || unknown;
    }
    program.queue.splice(program.queue.begin(), sent);
    if (result.answer == StoreAnswer::Conflict) {
        program.failures = 0;
        applyRows(program, result.current, id);
        program.busy = false;
        processQueue(id);
        return;
    }
    retryAfterBackoff(id, unknown);
}

void ProgramLedger::applyRows(Program &program, const std::vector<StoreRow> &rows,
                              const ProgramId &id)
{
    program.fresh = true;
    program.record = {};
    program.version = RowRevision(0);
    const RowName name = programRow(id);
    for (const StoreRow &row : rows) {
        if (row.name == name && !row.removed) {
            // Only this software writes these rows, so an unreadable one should not occur. If it
            // does, its version lets the next transaction replace it.
            program.record = decodeProgramRecord(row.value).value_or(ProgramRecord());
            program.version = row.version;
        }
    }
}

void ProgramLedger::retryAfterBackoff(const ProgramId &id, bool read)
{
    Program &program = m_programs[id];
    const Duration pause = jitteredBackoff(program.failures, m_random);
    program.failures += 1;
    m_timers.after(pause, [this, id, read] {
        if (read) {
            readRow(id);
            return;
        }
        m_programs[id].busy = false;
        processQueue(id);
    });
}

void ProgramLedger::readRow(const ProgramId &id)
{
    const RowName name = programRow(id);
    // Keys contain no spaces, so the range from the key to the key plus a space holds only it.
    const RowRange range{name.table, name.partition, name.key, name.key + " "};
    const BootTime sentAt = m_clock.bootNow();
    m_store.read(range,
                 [this, id, sentAt](const ReadResult &result) { onRead(id, sentAt, result); });
}

void ProgramLedger::onRead(const ProgramId &id, BootTime sentAt, const ReadResult &result)
{
    Program &program = m_programs[id];
    if (result.answer == StoreAnswer::Done) {
        program.rowSeenAt = sentAt;
        program.failures = 0;
        applyRows(program, result.rows, id);
        program.busy = false;
        processQueue(id);
        return;
    }
    // Requests past their deadline fail now and do not wait until the store is reachable again.
    failOverdueChanges(program);
    if (program.queue.empty()) {
        program.busy = false;
        return;
    }
    retryAfterBackoff(id, true);
}

void ProgramLedger::evictIdleProgram()
{
    if (m_programs.size() <= MaxIdlePrograms) {
        return;
    }
    auto oldest = m_programs.end();
    for (auto item = m_programs.begin(); item != m_programs.end(); ++item) {
        const bool idle = !item->second.busy && item->second.queue.empty();
        if (idle
            && (oldest == m_programs.end() || item->second.lastUsed < oldest->second.lastUsed)) {
            oldest = item;
        }
    }
    if (oldest != m_programs.end()) {
        m_lastForgottenUse =
            std::max(m_lastForgottenUse.value_or(BootTime()), oldest->second.lastUsedAt);
        m_programs.erase(oldest);
    }
}

} // namespace boragepath
