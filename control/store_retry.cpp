#include "control/store_retry.h"

#include <algorithm>

namespace boragepath {

namespace {

constexpr Milliseconds FirstPause{15};
constexpr Milliseconds LongestPause{500};
constexpr int MaxDoublings = 6;

} // namespace

Duration storeRetryPause(int failuresInRow, std::mt19937_64 &random)
{
    const int doublings = std::min(failuresInRow, MaxDoublings);
    const Duration most = std::min<Duration>(FirstPause * (1 << doublings), LongestPause);
    std::uniform_int_distribution<Duration::rep> pause(most.count() / 2, most.count());
    return Duration(pause(random));
}

} // namespace boragepath
