#pragma once

#include <cstdint>

namespace boragepath {

/**
 * Division of what the turns of a program may generate, in tokens. Together the parts are the
 * program's budget and the most of one turn.
 */
struct BudgetSplit
{
    /** What the program's lender may let it use without the store. */
    std::int64_t lendable = 0;
    /** What all other VMs together may reserve in the program's row. */
    std::int64_t restricted = 0;
};

/**
 * Divides a budget between the lender, which may be cut off from the store, and all VMs that don't
 * know what the lender has lent.
 *
 * For an outage of the store in which VMs fail or lose sight of each other: whoever of them goes on
 * with a program, its budget is kept.
 *
 * @param maxTurnTokens the most tokens that one turn generates.
 */
BudgetSplit splitBudget(std::int64_t budget, std::int64_t maxTurnTokens);

} // namespace boragepath
