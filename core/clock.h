#pragma once

#include <chrono>

namespace boragepath {

using Duration = std::chrono::steady_clock::duration;
using SteadyTime = std::chrono::steady_clock::time_point;
/** Like the steady clock, but it goes on while the machine is suspended. */
struct BootClock
{
    using duration = std::chrono::steady_clock::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    // The name that the standard library asks of clocks.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now() noexcept;
};

using BootTime = BootClock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/** Time source of all control code; tests substitute one that they advance themselves. */
class Clock
{
public:
    virtual ~Clock() = default;

    /** Monotonic time of this process. Leases and timeouts use only this. */
    virtual SteadyTime now() const = 0;

    /** Monotonic time that includes suspension of the machine. */
    virtual BootTime bootNow() const = 0;

    /** Calendar time. Used only for budget periods, reports and stored records. */
    virtual WallTime wallNow() const = 0;
};

/** The steady and the system clock of the operating system. */
class SystemClock final : public Clock
{
public:
    SteadyTime now() const override { return std::chrono::steady_clock::now(); }
    BootTime bootNow() const override { return BootClock::now(); }
    WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

/** Milliseconds since the Unix epoch, the form in which records store calendar time. */
inline std::int64_t unixMillis(WallTime time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

/** A duration in whole milliseconds, rounded towards zero, for logs and metrics. */
inline std::int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

} // namespace boragepath
