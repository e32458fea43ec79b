#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace boragepath {

/**
 * Bounds the lines of each event: a bucket that fills at LinesPerSecond.
 *
 * A line that is let through also learns how many before it were left out.
 */
class LogRateLimiter
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** Nothing if the line is left out; else the number left out since the last one. */
    std::optional<std::uint64_t> admit(std::string_view event, Time now);

private:
    struct Bucket
    {
        double lines = 0;
        Time refilledAt;
        std::uint64_t suppressed = 0;
    };

    std::map<std::string, Bucket, std::less<>> m_buckets;
};

/** Writes a line to @p descriptor unless that would wait; false if it was dropped. */
bool writeNonBlocking(int descriptor, const std::string &line);

} // namespace boragepath
