#include "control/backoff.h"

#include <algorithm>

namespace boragepath {

namespace {

constexpr Milliseconds FirstBackoff{20};
constexpr Milliseconds MaxBackoff{1'000};
constexpr int MaxDoublings = 6;

} // namespace

Duration jitteredBackoff(int failures, std::mt19937_64 &random)
{
    const Milliseconds doubled = FirstBackoff * (1 << std::min(failures, MaxDoublings));
    const Milliseconds ceiling = std::min(MaxBackoff, doubled);
    std::uniform_int_distribution<std::int64_t> distribution(ceiling.count() / 2, ceiling.count());
    return Milliseconds(distribution(random));
}

} // namespace boragepath
