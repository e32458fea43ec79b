#pragma once

#include "core/clock.h"

namespace boragepath {

/** A clock that advances only when a test advances it. */
class ManualClock final : public Clock
{
public:
    SteadyTime now() const override { return m_now; }
    BootTime bootNow() const override { return m_boot; }
    WallTime wallNow() const override { return m_wall; }

    void advance(Duration duration)
    {
        m_now += duration;
        m_boot += duration;
        m_wall += std::chrono::duration_cast<WallTime::duration>(duration);
    }
    /** Advances to @p time; does nothing if that is in the past. */
    void moveTo(SteadyTime time)
    {
        if (time > m_now) {
            advance(time - m_now);
        }
    }

    /** Suspends the machine: only the boot clock and the calendar go on. */
    void suspend(Duration duration)
    {
        m_boot += duration;
        m_wall += std::chrono::duration_cast<WallTime::duration>(duration);
    }

private:
    BootTime m_boot{std::chrono::hours(2)};
    SteadyTime m_now{std::chrono::hours(1)};
    WallTime m_wall{std::chrono::hours(500'000)};
};

} // namespace boragepath
