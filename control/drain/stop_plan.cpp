#include "control/drain/stop_plan.h"

#include <algorithm>

namespace boragepath {

namespace {

/**
 * Callers use an address for up to three times its time to live of 1 s after it was withdrawn. What
 * they send by then is passed on, except in a grace so short that it would rather be broken off.
 */
constexpr Milliseconds AddressUse{2'900};
constexpr int AddressUseDivisor = 2;
/** Time to answer the calls that are broken off, and to write what is left to the store. Short
 * beside the grace, so that calls that were taken early get nearly all of it. */
constexpr Milliseconds EndMargin{900};
constexpr int EndMarginDivisor = 8;
/** The process needs this long to end once it has decided to. */
constexpr Milliseconds ExitMargin{300};
constexpr int ExitMarginDivisor = 24;
/** A call that reaches its deadline is answered within this time. */
constexpr Milliseconds AnswerMargin{100};

} // namespace

StopPlan planStop(SteadyTime startedAt, Milliseconds grace)
{
    grace = std::max(grace, Milliseconds(0));
    StopPlan plan;
    plan.startedAt = startedAt;
    plan.acceptsAllUntil = startedAt + std::min(AddressUse, grace / AddressUseDivisor);
    plan.callsEnd = startedAt + grace - std::min(EndMargin, grace / EndMarginDivisor);
    plan.processEnd = startedAt + grace - std::min(ExitMargin, grace / ExitMarginDivisor);
    return plan;
}

bool mayPassOn(const StopPlan &plan, SteadyTime now, SteadyTime deadline)
{
    const bool endsInTime = deadline + AnswerMargin <= plan.callsEnd;
    return now < plan.acceptsAllUntil || (endsInTime && now < plan.callsEnd);
}

} // namespace boragepath
