#include "control/store_timeout.h"

#include <algorithm>

namespace boragepath {

namespace {

/** Answers vary by queues of one part, a few transactions long. */
constexpr int LatencyFactor = 8;
constexpr Milliseconds ShortestLimit{150};
/** A store slowed sixty times answers a write within 0.8 s. */
constexpr Milliseconds LongestLimit{1'500};
/** Weight of the newest answer, as one part in this many. */
constexpr int Smoothing = 4;

} // namespace

void StoreTimeout::noteAnswer(Duration latency)
{
    const bool first = m_latency == Duration::zero();
    m_latency = first ? latency : m_latency + (latency - m_latency) / Smoothing;
    m_limit = std::clamp<Duration>(m_latency * LatencyFactor, ShortestLimit, LongestLimit);
}

void StoreTimeout::noteTimeout()
{
    m_limit = std::min<Duration>(m_limit * 2, LongestLimit);
}

} // namespace boragepath
