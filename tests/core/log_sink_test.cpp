// Limits of the log: lines per event are rate limited, and writing never blocks.

#include "core/log_sink.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>

namespace boragepath {

TEST(LogRateLimiter, LimitsEachEventSeparatelyAndCountsSuppressedLines)
{
    LogRateLimiter rate;
    const LogRateLimiter::Time start{};
    int written = 0;
    for (int line = 0; line < 10'000; ++line) {
        written += rate.admit("call", start).has_value() ? 1 : 0;
    }
    EXPECT_EQ(written, 400);
    EXPECT_EQ(rate.admit("stopped", start), 0U);
    {
        SCOPED_TRACE("the next admitted line reports how many were suppressed");
        EXPECT_EQ(rate.admit("call", start + std::chrono::seconds(1)), 9'600U);
        EXPECT_EQ(rate.admit("call", start + std::chrono::seconds(1)), 0U);
    }
}

TEST(WriteNonBlocking, LineIsDroppedWhenThePipeIsFull)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(pipe(ends.data()), 0);
    int lines = 0;
    while (writeNonBlocking(ends[1], std::string(1'000, 'x')) && lines < 100'000) {
        lines += 1;
    }
    EXPECT_GT(lines, 0);
    EXPECT_LT(lines, 100'000);
    close(ends[0]);
    close(ends[1]);
}

} // namespace boragepath
