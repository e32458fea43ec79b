#include "control/budget_grants.h"

#include "control/outage/budget_split.h"
#include "core/logging.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace boragepath {

namespace {

/** Turns that a grant covers at their maximum; most turns use less than half of that. */
constexpr std::int64_t TurnsPerGrant = 4;
/** If a program has no turns for longer than this, the rest of its grant is released. */
constexpr Milliseconds IdleGrantTimeout{500};
/** A turn waits this long for the store before it gets a loan. */
constexpr Milliseconds LoanDelay{100};
/** A turn that waits until more may be lent looks this often whether the store is back. */
constexpr Milliseconds LoanRetryInterval{100};
/** Time after a turn's deadline for its settlement to arrive. */
constexpr Milliseconds SettlementMargin{10'000};

} // namespace

std::int64_t BudgetGrants::Grant::uncertainTokens() const
{
    std::int64_t total = unsettled;
    for (const auto &[turn, active] : turns) {
        total += active.isInRow ? 0 : active.maxTokens;
    }
    return total;
}

BudgetGrants::BudgetGrants(const Clock &clock, Timers &timers, ProgramLedger &ledger,
                           const StoreHealth &health, std::string holder)
    : m_clock(clock)
    , m_timers(timers)
    , m_ledger(ledger)
    , m_health(health)
    , m_holder(std::move(holder))
{ }

void BudgetGrants::reserve(const ReservationRequest &request, SteadyTime deadline,
                           std::function<void(ReservationResult)> done)
{
    Grant &grant = m_grants[request.program];
    grant.lastUsed = m_clock.now();
    grant.hasStoredTurns = grant.hasStoredTurns || !request.mayBorrow;
    const bool wasStuck = isStuck(grant);
    grant.waiting.push_back({request, deadline, std::move(done), m_clock.now()});
    processQueue(request.program);
    const auto found = m_grants.find(request.program);
    if (found == m_grants.end() || found->second.waiting.empty()) {
        return;
    }
    if (wasStuck) {
        refuseIfStuck(request.program, request.turn);
    }
    m_timers.after(LoanDelay, [this, wasStuck, program = request.program, turn = request.turn] {
        processQueue(program);
        if (wasStuck) {
            refuseIfStuck(program, turn);
        }
    });
    m_timers.after(deadline - m_clock.now(),
                   [this, program = request.program] { processQueue(program); });
}

bool BudgetGrants::isStuck(const Grant &grant) const
{
    const bool isLoanPending =
        grant.retryScheduled || (m_lenders != nullptr && m_lenders->isLoanPending());
    return grant.exchanging && m_health.unavailable() && !isLoanPending;
}

void BudgetGrants::refuseIfStuck(const ProgramId &program, const AttemptId &turn)
{
    const auto found = m_grants.find(program);
    if (found == m_grants.end() || !isStuck(found->second)) {
        return;
    }
    std::deque<WaitingRequest> &waiting = found->second.waiting;
    const auto item = std::find_if(waiting.begin(), waiting.end(), [&](const auto &candidate) {
        return candidate.request.turn == turn;
    });
    if (item == waiting.end()) {
        return;
    }
    const WaitingRequest refused = std::move(*item);
    waiting.erase(item);
    refused.done(ReservationResult::StoreUnavailable);
}

void BudgetGrants::settle(const TurnSettlement &settlement)
{
    const auto found = m_grants.find(settlement.program);
    if (found == m_grants.end()) {
        return;
    }
    Grant &grant = found->second;
    const auto waiting =
        std::find_if(grant.waiting.begin(), grant.waiting.end(), [&](const WaitingRequest &item) {
            return item.request.turn == settlement.turn;
        });
    if (waiting != grant.waiting.end()) {
        // The caller has stopped waiting and reserved elsewhere.
        const WaitingRequest withdrawn = std::move(*waiting);
        grant.waiting.erase(waiting);
        noteWithdrawn(grant, withdrawn);
        withdrawn.done(ReservationResult::StoreUnavailable);
        return;
    }
    const auto turn = grant.turns.find(settlement.turn);
    if (turn == grant.turns.end()) {
        return;
    }
    if (turn->second.isInRow) {
        grant.ended[settlement.turn] = settlement.tokens;
    } else {
        grant.spent += settlement.tokens;
    }
    if (grant.exchanging && !turn->second.isInRow) {
        grant.endedInExchange[settlement.turn] = settlement.tokens;
    }
    grant.turns.erase(turn);
    grant.lastUsed = m_clock.now();
    processQueue(settlement.program);
}

void BudgetGrants::noteWithdrawn(Grant &grant, const WaitingRequest &withdrawn)
{
    if (withdrawn.isInRow) {
        grant.ended[withdrawn.request.turn] = 0;
    }
}

void BudgetGrants::expireOverdue(Grant &grant)
{
    const SteadyTime now = m_clock.now();
    for (auto turn = grant.turns.begin(); turn != grant.turns.end();) {
        if (now < turn->second.overdueAt || grant.exchanging) {
            ++turn;
            continue;
        }
        // A reservation of its own stays in the row, for the VM that runs the turn to settle.
        grant.unsettled += turn->second.isInRow ? 0 : turn->second.maxTokens;
        turn = grant.turns.erase(turn);
    }
    std::deque<WaitingRequest> late;
    std::deque<WaitingRequest> inTime;
    for (WaitingRequest &item : grant.waiting) {
        (now >= item.deadline ? late : inTime).push_back(std::move(item));
    }
    grant.waiting = std::move(inTime);
    for (WaitingRequest &item : late) {
        noteWithdrawn(grant, item);
        item.done(ReservationResult::StoreUnavailable);
    }
}

void BudgetGrants::processQueue(const ProgramId &program)
{
    const auto found = m_grants.find(program);
    if (found == m_grants.end()) {
        return;
    }
    Grant &grant = found->second;
    expireOverdue(grant);
    while (!grant.waiting.empty()) {
        const ReservationRequest &request = grant.waiting.front().request;
        const bool fitsGrant = !grant.exchanging && !grant.id.value().empty()
            && grant.size - grant.spent - grant.uncertainTokens() >= request.maxTokens;
        const bool covered = fitsGrant || grant.waiting.front().isInRow;
        const LoanPermission loan = covered ? LoanPermission::Denied : lend(program, grant);
        if (covered || loan == LoanPermission::Granted) {
            serveFirst(grant);
        } else if (loan == LoanPermission::Denied && !grant.exchanging) {
            exchange(program, grant);
        } else {
            break;
        }
    }
    scheduleClose(program, grant);
}

void BudgetGrants::serveFirst(Grant &grant)
{
    WaitingRequest served = std::move(grant.waiting.front());
    grant.waiting.pop_front();
    grant.turns[served.request.turn] = {served.request.maxTokens,
                                        served.deadline + SettlementMargin, served.isInRow};
    grant.mayBorrow = grant.mayBorrow || served.request.mayBorrow;
    m_reservedLocally += 1;
    served.done(ReservationResult::Granted);
}

LoanPermission BudgetGrants::lend(const ProgramId &program, Grant &grant)
{
    const WaitingRequest &first = grant.waiting.front();
    const ReservationRequest &request = first.request;
    const bool isStoreSlow = grant.exchanging && m_clock.now() >= first.queuedAt + LoanDelay;
    if (m_lenders == nullptr || !request.mayBorrow || !(isStoreSlow || m_health.unavailable())) {
        return LoanPermission::Denied;
    }
    const bool isKnownToBorrow = m_ledger.hasTurnsThatBorrow(program);
    if (m_ledger.hasOnlyStoredTurns(program) || (grant.hasStoredTurns && !isKnownToBorrow)) {
        // A successor that doesn't know what was lent may reserve the whole budget of such a one.
        return LoanPermission::Denied;
    }
    const std::int64_t used = m_ledger.committedBesides(program, grant.id) + grant.spent
        + grant.uncertainTokens() - unusedOfEnded(program, grant);
    // Whoever doesn't know of a loan may reserve the whole budget of a program without a row, and
    // that leaves the most of one turn.
    const std::optional<Duration> oneTurnLimit =
        isKnownToBorrow ? std::nullopt : m_lenders->oneTurnLimit();
    const std::int64_t lendable = oneTurnLimit.has_value()
        ? request.maxTokens
        : splitBudget(request.budget, request.maxTokens).lendable;
    if (used + request.maxTokens > lendable) {
        return lendLater(program, grant, oneTurnLimit);
    }
    const LoanPermission permission =
        m_lenders->askToLend(program, {m_ledger.rowSeenAt(program), m_ledger.lastForgottenUse()});
    if (permission != LoanPermission::Granted) {
        return permission;
    }
    if (grant.id.value().empty()) {
        grant.id = loanId(absl::StrCat(m_holder, "/", m_nextGrantNumber++));
    }
    grant.hasLoan = true;
    m_loans += 1;
    LogLine("budget")
        .add("request", request.turn.value())
        .add("program", program.value())
        .add("used", used)
        .add("lendable", lendable)
        .add("most", request.maxTokens)
        .add("store_silent_ms", toMillis(m_health.timeSinceAnswer()))
        .add("outcome", "lent")
        .info();
    return LoanPermission::Granted;
}

LoanPermission BudgetGrants::lendLater(const ProgramId &program, Grant &grant,
                                       std::optional<Duration> oneTurnLimit)
{
    if (!oneTurnLimit.has_value() || *oneTurnLimit == Duration(0)) {
        return LoanPermission::Denied;
    }
    if (!grant.retryScheduled) {
        grant.retryScheduled = true;
        const Duration delay =
            std::min<Duration>(*oneTurnLimit + Milliseconds(1), LoanRetryInterval);
        m_timers.after(delay, [this, program] {
            const auto found = m_grants.find(program);
            if (found != m_grants.end()) {
                found->second.retryScheduled = false;
                processQueue(program);
            }
        });
    }
    return LoanPermission::Pending;
}

std::int64_t BudgetGrants::unusedOfEnded(const ProgramId &program, const Grant &grant) const
{
    std::int64_t unused = 0;
    for (const auto &[turn, tokens] : grant.ended) {
        const std::int64_t reserved = m_ledger.reservedFor(program, grantedTurnId(turn));
        unused += std::max<std::int64_t>(0, reserved - tokens);
    }
    return unused;
}

void BudgetGrants::onLendingGranted()
{
    std::vector<ProgramId> waiting;
    for (const auto &[program, grant] : m_grants) {
        if (!grant.waiting.empty()) {
            waiting.push_back(program);
        }
    }
    for (const ProgramId &program : waiting) {
        processQueue(program);
    }
}

std::optional<std::vector<ProgramId>> BudgetGrants::programsUsedSince(BootTime time) const
{
    const std::optional<BootTime> forgotten = m_ledger.lastForgottenUse();
    if (forgotten.has_value() && *forgotten >= time) {
        return std::nullopt;
    }
    std::vector<ProgramId> programs = m_ledger.programsUsedSince(time);
    for (const auto &[program, grant] : m_grants) {
        programs.push_back(program);
    }
    return programs;
}

bool BudgetGrants::hasLoans() const
{
    return std::any_of(m_grants.begin(), m_grants.end(),
                       [](const auto &item) { return item.second.hasLoan; });
}

/**
 * Replaces the grant by one for a few more turns. The first waiting turn, and the turns under way
 * that the grant had to cover, get reservations of their own in the row.
 */
void BudgetGrants::exchange(const ProgramId &program, Grant &grant)
{
    const ReservationRequest &first = grant.waiting.front().request;
    const std::int64_t uncertainTokens = grant.uncertainTokens();
    ReservationRequest request;
    request.program = program;
    request.turn = newGrantId();
    request.budget = first.budget;
    request.minTokens = uncertainTokens + first.maxTokens;
    request.maxTokens = uncertainTokens + first.maxTokens * TurnsPerGrant;
    request.maxTurnTokens = first.maxTokens;
    request.uncertainTokens = uncertainTokens;
    request.mayBorrow = grant.mayBorrow || first.mayBorrow;
    request.replaces = grant.id;
    request.replacedSpent = grant.spent;
    request.grantedTurns = turnsToGrant(grant);
    request.grantedTurns.push_back({first.turn, first.maxTokens});
    request.endedTurns = endedTurns(program, grant);
    grant.exchanging = true;
    grant.endedInExchange.clear();
    // No deadline: reservations of running turns must not lose their cover during the exchange.
    m_ledger.reserve(request, SteadyTime::max(),
                     [this, request](ReservationResult result) { onExchanged(request, result); });
}

void BudgetGrants::onExchanged(const ReservationRequest &request, ReservationResult result)
{
    Grant &grant = m_grants[request.program];
    grant.exchanging = false;
    if (result == ReservationResult::Granted) {
        grant.id = request.turn;
        grant.size = m_ledger.reservedFor(request.program, request.turn);
        grant.spent -= request.replacedSpent;
        for (const TurnSettlement &settled : request.endedTurns) {
            std::erase_if(grant.ended, [&](const auto &item) {
                return grantedTurnId(item.first) == settled.turn;
            });
        }
        noteGrantedTurns(grant, request.grantedTurns);
        grant.hasLoan = grant.spent + grant.uncertainTokens() > grant.size;
    } else {
        refuseFirst(grant, result);
    }
    processQueue(request.program);
}

void BudgetGrants::noteGrantedTurns(Grant &grant, const std::vector<GrantedTurn> &turns)
{
    for (const GrantedTurn &granted : turns) {
        const auto running = grant.turns.find(granted.turn);
        const auto waiting =
            std::find_if(grant.waiting.begin(), grant.waiting.end(),
                         [&](const auto &item) { return item.request.turn == granted.turn; });
        if (running != grant.turns.end()) {
            running->second.isInRow = true;
        } else if (waiting != grant.waiting.end()) {
            waiting->isInRow = true;
        } else {
            // It has ended, or its caller has stopped waiting.
            const auto ended = grant.endedInExchange.find(granted.turn);
            const std::int64_t tokens = ended == grant.endedInExchange.end() ? 0 : ended->second;
            grant.spent -= tokens;
            grant.ended[granted.turn] = tokens;
        }
    }
}

std::vector<GrantedTurn> BudgetGrants::turnsToGrant(const Grant &grant)
{
    std::vector<GrantedTurn> turns;
    for (const auto &[turn, active] : grant.turns) {
        if (!active.isInRow) {
            turns.push_back({turn, active.maxTokens});
        }
    }
    return turns;
}

std::vector<TurnSettlement> BudgetGrants::endedTurns(const ProgramId &program, const Grant &grant)
{
    std::vector<TurnSettlement> settlements;
    for (const auto &[turn, tokens] : grant.ended) {
        settlements.push_back({program, grantedTurnId(turn), tokens});
    }
    return settlements;
}

void BudgetGrants::refuseFirst(Grant &grant, ReservationResult result)
{
    if (grant.waiting.empty()) {
        return;
    }
    const WaitingRequest refused = std::move(grant.waiting.front());
    grant.waiting.pop_front();
    refused.done(result);
}

void BudgetGrants::scheduleClose(const ProgramId &program, Grant &grant)
{
    if (grant.closeScheduled) {
        return;
    }
    grant.closeScheduled = true;
    m_timers.after(IdleGrantTimeout, [this, program] { closeIfIdle(program); });
}

void BudgetGrants::closeIfIdle(const ProgramId &program)
{
    const auto found = m_grants.find(program);
    if (found == m_grants.end()) {
        return;
    }
    Grant &grant = found->second;
    grant.closeScheduled = false;
    expireOverdue(grant);
    const bool inUse = grant.exchanging || !grant.turns.empty() || !grant.waiting.empty()
        || m_clock.now() < grant.lastUsed + IdleGrantTimeout;
    if (inUse) {
        scheduleClose(program, grant);
        return;
    }
    const Grant closed = std::move(grant);
    m_grants.erase(found);
    release(program, closed);
}

AttemptId BudgetGrants::newGrantId()
{
    return grantId(absl::StrCat(m_holder, "/", m_nextGrantNumber++));
}

void BudgetGrants::release(const ProgramId &program, const Grant &grant)
{
    if (grant.id.value().empty()) {
        return;
    }
    const std::vector<TurnSettlement> ended = endedTurns(program, grant);
    const std::int64_t uncertainTokens = grant.uncertainTokens();
    if (uncertainTokens == 0 || grant.hasLoan) {
        // A loan counts as used where that is not known, since nothing in the row covers it.
        for (const TurnSettlement &settlement : ended) {
            m_ledger.settle(settlement);
        }
        m_ledger.settle({program, grant.id, grant.spent + uncertainTokens});
        return;
    }
    // A smaller grant keeps the tokens of turns that may have run.
    ReservationRequest rest;
    rest.program = program;
    rest.turn = newGrantId();
    rest.budget = NoTokenBudget;
    rest.maxTokens = uncertainTokens;
    rest.replaces = grant.id;
    rest.replacedSpent = grant.spent;
    rest.grantedTurns = turnsToGrant(grant);
    rest.endedTurns = ended;
    m_ledger.reserve(rest, SteadyTime::max(), [](ReservationResult) {});
}

void BudgetGrants::releaseAll()
{
    std::vector<ProgramId> programs;
    for (const auto &[program, grant] : m_grants) {
        if (!grant.exchanging && grant.waiting.empty()) {
            programs.push_back(program);
        }
    }
    for (const ProgramId &program : programs) {
        const auto node = m_grants.extract(program);
        release(program, node.mapped());
    }
}

} // namespace boragepath
