#include "control/budget_grants.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace boragepath {

namespace {

/** Turns at their most that a grant covers; most turns hand out under half of it. */
constexpr std::int64_t TurnsAhead = 4;
/** A program that pauses longer gives the rest of its grant back. */
constexpr Milliseconds QuietLimit{500};
/** Beyond the time that a turn may take, for what is said of it to arrive. */
constexpr Milliseconds SettlementMargin{10'000};

} // namespace

std::int64_t BudgetGrants::Grant::promised() const
{
    std::int64_t total = 0;
    for (const auto &[turn, promise] : turns) {
        total += promise.most;
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

void BudgetGrants::reserve(const ReservationRequest &claim, SteadyTime deadline,
                           std::function<void(ReservationResult)> done)
{
    Grant &grant = m_grants[claim.program];
    grant.lastUse = m_clock.now();
    if (grant.changing && m_health.unavailable()) {
        done(ReservationResult::StoreUnavailable);
        return;
    }
    grant.waiting.push_back({claim, deadline, std::move(done)});
    pump(claim.program);
    const auto found = m_grants.find(claim.program);
    if (found != m_grants.end() && !found->second.waiting.empty()) {
        m_timers.after(deadline - m_clock.now(),
                       [this, program = claim.program] { pump(program); });
    }
}

void BudgetGrants::settle(const TurnSettlement &settlement)
{
    const auto found = m_grants.find(settlement.program);
    if (found == m_grants.end()) {
        return;
    }
    Grant &grant = found->second;
    const auto waiting =
        std::find_if(grant.waiting.begin(), grant.waiting.end(),
                     [&](const Claim &claim) { return claim.claim.turn == settlement.turn; });
    if (waiting != grant.waiting.end()) {
        // Whoever asked has found another way meanwhile.
        const Claim withdrawn = std::move(*waiting);
        grant.waiting.erase(waiting);
        withdrawn.done(ReservationResult::StoreUnavailable);
        return;
    }
    if (grant.turns.erase(settlement.turn) == 0) {
        return;
    }
    grant.spent += settlement.tokens;
    grant.lastUse = m_clock.now();
    pump(settlement.program);
}

void BudgetGrants::dropLate(Grant &grant)
{
    const SteadyTime now = m_clock.now();
    for (auto turn = grant.turns.begin(); turn != grant.turns.end();) {
        if (now < turn->second.overdueAt) {
            ++turn;
            continue;
        }
        grant.spent += turn->second.most;
        turn = grant.turns.erase(turn);
    }
    std::deque<Claim> late;
    std::deque<Claim> inTime;
    for (Claim &claim : grant.waiting) {
        (now >= claim.deadline ? late : inTime).push_back(std::move(claim));
    }
    grant.waiting = std::move(inTime);
    for (Claim &claim : late) {
        claim.done(ReservationResult::StoreUnavailable);
    }
}

void BudgetGrants::pump(const ProgramId &program)
{
    const auto found = m_grants.find(program);
    if (found == m_grants.end()) {
        return;
    }
    Grant &grant = found->second;
    dropLate(grant);
    while (!grant.changing && !grant.waiting.empty()) {
        const ReservationRequest &claim = grant.waiting.front().claim;
        const bool covered = !grant.name.value().empty()
            && grant.size - grant.spent - grant.promised() >= claim.most;
        if (!covered) {
            exchange(program, grant);
            continue;
        }
        Claim served = std::move(grant.waiting.front());
        grant.waiting.pop_front();
        grant.turns[served.claim.turn] = {served.claim.most, served.deadline + SettlementMargin};
        m_reservedHere += 1;
        served.done(ReservationResult::Granted);
    }
    planClose(program, grant);
}

/** Asks the row for a grant that covers what is promised and a few turns more. */
void BudgetGrants::exchange(const ProgramId &program, Grant &grant)
{
    const ReservationRequest &first = grant.waiting.front().claim;
    const std::int64_t promised = grant.promised();
    ReservationRequest claim;
    claim.program = program;
    claim.turn = grantName(absl::StrCat(m_holder, "/", m_nextName++));
    claim.budget = first.budget;
    claim.least = promised + first.most;
    claim.most = promised + first.most * TurnsAhead;
    claim.replaces = grant.name;
    claim.replacedTokens = grant.spent;
    grant.changing = true;
    // Without a time limit: what is promised must not be left without cover half way.
    m_ledger.reserve(claim, SteadyTime::max(),
                     [this, program, name = claim.turn, spent = grant.spent](
                         ReservationResult result) { onExchanged(program, name, spent, result); });
}

void BudgetGrants::onExchanged(const ProgramId &program, const AttemptId &name,
                               std::int64_t spentBefore, ReservationResult reservation)
{
    Grant &grant = m_grants[program];
    grant.changing = false;
    if (reservation == ReservationResult::Granted) {
        grant.name = name;
        grant.size = m_ledger.reservedFor(program, name);
        grant.spent -= spentBefore;
    } else {
        refuseFirst(grant, reservation);
    }
    pump(program);
}

void BudgetGrants::refuseFirst(Grant &grant, ReservationResult reservation)
{
    if (grant.waiting.empty()) {
        return;
    }
    const Claim refused = std::move(grant.waiting.front());
    grant.waiting.pop_front();
    refused.done(reservation);
}

void BudgetGrants::planClose(const ProgramId &program, Grant &grant)
{
    if (grant.closePlanned) {
        return;
    }
    grant.closePlanned = true;
    m_timers.after(QuietLimit, [this, program] { closeIfQuiet(program); });
}

void BudgetGrants::closeIfQuiet(const ProgramId &program)
{
    const auto found = m_grants.find(program);
    if (found == m_grants.end()) {
        return;
    }
    Grant &grant = found->second;
    grant.closePlanned = false;
    dropLate(grant);
    const bool used = grant.changing || !grant.turns.empty() || !grant.waiting.empty()
        || m_clock.now() < grant.lastUse + QuietLimit;
    if (used) {
        planClose(program, grant);
        return;
    }
    const Grant closed = std::move(grant);
    m_grants.erase(found);
    if (!closed.name.value().empty()) {
        m_ledger.settle({program, closed.name, closed.spent});
    }
}

void BudgetGrants::releaseAll()
{
    std::vector<ProgramId> programs;
    for (const auto &[program, grant] : m_grants) {
        if (!grant.changing && grant.waiting.empty()) {
            programs.push_back(program);
        }
    }
    for (const ProgramId &program : programs) {
        const auto node = m_grants.extract(program);
        const Grant &grant = node.mapped();
        if (!grant.name.value().empty()) {
            // Turns under way count at their most: nobody will hear what they hand out.
            m_ledger.settle({program, grant.name, grant.spent + grant.promised()});
        }
    }
}

} // namespace boragepath
