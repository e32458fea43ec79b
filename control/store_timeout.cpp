#include "control/store_timeout.h"

#include <algorithm>

namespace boragepath {

namespace {

/** Timeout as a multiple of the latency: a call may queue behind a few transactions of its
 * partition. */
constexpr int LatencyFactor = 8;
constexpr Milliseconds MinTimeout{150};
/** A store that is slowed down by a factor of sixty still answers a write within 0.8 s. */
constexpr Milliseconds MaxTimeout{1'500};
/** The newest answer has a weight of one in this many in the smoothed latency. */
constexpr int SmoothingDivisor = 4;

} // namespace

void StoreTimeout::noteAnswer(Duration latency)
{
    const bool first = m_smoothedLatency == Duration::zero();
    m_smoothedLatency =
        first ? latency : m_smoothedLatency + (latency - m_smoothedLatency) / SmoothingDivisor;
    m_timeout = std::clamp<Duration>(m_smoothedLatency * LatencyFactor, MinTimeout, MaxTimeout);
}

void StoreTimeout::noteTimeout()
{
    m_timeout = std::min<Duration>(m_timeout * 2, MaxTimeout);
}

} // namespace boragepath
