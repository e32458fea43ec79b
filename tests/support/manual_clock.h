#pragma once

#include "core/clock.h"

namespace boragepath {

/** A clock that advances only when a test advances it. */
class ManualClock final : public Clock
{
public:
    SteadyTime now() const override { return m_now; }
    WallTime wallNow() const override { return m_wall; }

    void advance(Duration duration)
    {
        m_now += duration;
        m_wall += std::chrono::duration_cast<WallTime::duration>(duration);
    }
    /** Advances to @p time; does nothing if that is in the past. */
    void moveTo(SteadyTime time)
    {
        if (time > m_now) {
            advance(time - m_now);
        }
    }

private:
    SteadyTime m_now{std::chrono::hours(1)};
    WallTime m_wall{std::chrono::hours(500'000)};
};

} // namespace boragepath
