#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace boragepath {

/**
 * Limits the rate of log lines per event with a token bucket.
 *
 * The bucket of an event is refilled at LinesPerSecond and holds at most BurstLines.
 * A line that is admitted is told how many lines before it were suppressed.
 */
class LogRateLimiter
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** Nothing if the line is suppressed; else the lines suppressed since the last admitted one. */
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

/** Writes a line to @p descriptor unless that would block; false if it was dropped. */
bool writeNonBlocking(int descriptor, const std::string &line);

} // namespace boragepath
