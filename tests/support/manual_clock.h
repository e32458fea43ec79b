#pragma once

#include "core/clock.h"

namespace boragepath {

/** A clock that moves only when a test moves it. */
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
