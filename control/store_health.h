#pragma once

#include "core/clock.h"

#include <atomic>

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
    /** A call was refused; true if the store counts as away from now on. */
    bool noteRefusal();
    /** A call was not answered; single answers are lost while the store is well. */
    bool noteTimeout();
    bool unavailable() const { return m_away; }
    /** How long ago the store last answered. */
    Duration silence() const { return m_clock.now() - m_answeredAt; }

private:
    bool noteFailure(bool enough);

    const Clock &m_clock;
    int m_failuresInRow = 0;
    /** Also read by the metrics page, on another thread. */
    std::atomic<bool> m_away = false;
    SteadyTime m_answeredAt;
};

} // namespace boragepath
