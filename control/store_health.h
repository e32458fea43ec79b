#pragma once

#include "core/clock.h"

namespace boragepath {

/**
 * Whether the platform's store answers this VM, as its calls have shown.
 *
 * Serves the load pattern of a store outage: work that needs the store is
 * refused at once instead of waiting for time limits.
 */
class StoreHealth
{
public:
    explicit StoreHealth(const Clock &clock);

    /** A call was answered; true if the store was away until now. */
    bool noteAnswer();
    /** A call was refused or not answered; true if the store counts as away from now on. */
    bool noteFailure();
    bool away() const { return m_away; }
    /** True within @p span after the store's return. */
    bool returnedWithin(Duration span) const;

private:
    const Clock &m_clock;
    int m_failuresInRow = 0;
    bool m_away = false;
    SteadyTime m_returnedAt;
};

} // namespace boragepath
