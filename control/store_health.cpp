#include "control/store_health.h"

namespace boragepath {

namespace {

/** Single calls fail while the store is well, by a lost packet for example. */
constexpr int FailuresUntilAway = 3;
/** Without any answer for this long, unanswered calls are no single losses. */
constexpr Milliseconds SilenceUntilAway{900};

} // namespace

StoreHealth::StoreHealth(const Clock &clock)
    : m_clock(clock)
    , m_answeredAt(clock.now())
{ }

bool StoreHealth::noteAnswer()
{
    m_failuresInRow = 0;
    m_answeredAt = m_clock.now();
    const bool wasAway = m_away;
    m_away = false;
    return wasAway;
}

bool StoreHealth::noteRefusal()
{
    return noteFailure(true);
}

bool StoreHealth::noteTimeout()
{
    return noteFailure(m_clock.now() >= m_answeredAt + SilenceUntilAway);
}

bool StoreHealth::noteFailure(bool enough)
{
    m_failuresInRow += 1;
    if (m_away || !enough || m_failuresInRow < FailuresUntilAway) {
        return false;
    }
    m_away = true;
    return true;
}

} // namespace boragepath
