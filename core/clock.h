#pragma once

#include <chrono>

namespace boragepath {

using Duration = std::chrono::steady_clock::duration;
using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/** Where all control code reads the time, so that tests can drive it by hand. */
class Clock
{
public:
    virtual ~Clock() = default;

    /** Monotonic time of this process; leases and time limits use only this. */
    virtual SteadyTime now() const = 0;

    /** Calendar time; used for budget periods, reports and records only. */
    virtual WallTime wallNow() const = 0;
};

/** The clocks of the machine. */
class SystemClock final : public Clock
{
public:
    SteadyTime now() const override { return std::chrono::steady_clock::now(); }
    WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

/** Milliseconds since the epoch, as records keep calendar time. */
inline std::int64_t unixMillis(WallTime time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

/** Whole milliseconds of a duration, as logs and metrics show it. */
inline std::int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

} // namespace boragepath
