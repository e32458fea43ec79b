#include "core/log_sink.h"

#include <algorithm>

#include <poll.h>
#include <unistd.h>

namespace boragepath {

namespace {

/** Rate limit of each event. A VM serves a few dozen calls a second, so 200 is ample. */
constexpr double LinesPerSecond = 200;
constexpr double BurstLines = 400;
/** PIPE_BUF on Linux: a pipe takes a write of up to this size whole or not at all. */
constexpr std::size_t MaxLineBytes = 4'096;

} // namespace

std::optional<std::uint64_t> LogRateLimiter::admit(std::string_view event, Time now)
{
    auto found = m_buckets.find(event);
    if (found == m_buckets.end()) {
        found = m_buckets.emplace(std::string(event), Bucket{BurstLines, now, 0}).first;
    }
    Bucket &bucket = found->second;
    const std::chrono::duration<double> elapsed = now - bucket.refilledAt;
    bucket.lines = std::min(BurstLines, bucket.lines + elapsed.count() * LinesPerSecond);
    bucket.refilledAt = now;
    if (bucket.lines < 1) {
        bucket.suppressed += 1;
        return std::nullopt;
    }
    bucket.lines -= 1;
    const std::uint64_t suppressed = bucket.suppressed;
    bucket.suppressed = 0;
    return suppressed;
}

bool writeNonBlocking(int descriptor, const std::string &line)
{
    pollfd ready{descriptor, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
        return false;
    }
    const std::size_t size = std::min(line.size(), MaxLineBytes);
    return write(descriptor, line.data(), size) == static_cast<ssize_t>(size);
}

} // namespace boragepath
