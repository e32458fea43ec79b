#include "control/outage/budget_split.h"

namespace boragepath {

BudgetSplit splitBudget(std::int64_t budget, std::int64_t maxTurnTokens)
{
    BudgetSplit split;
    split.restricted = budget / 2 + maxTurnTokens / 2;
    split.lendable = budget + maxTurnTokens - split.restricted;
    return split;
}

} // namespace boragepath
