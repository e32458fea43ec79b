#include "control/store_health.h"

namespace boragepath {

namespace {

/** Single failures happen while the store is well, by a lost packet for example. */
constexpr int FailuresUntilAway = 3;

} // namespace

bool StoreHealth::noteAnswer()
{
    m_failuresInRow = 0;
    if (!m_away) {
        return false;
    }
    m_away = false;
    return true;
}

bool StoreHealth::noteFailure()
{
    m_failuresInRow += 1;
    if (m_away || m_failuresInRow < FailuresUntilAway) {
        return false;
    }
    m_away = true;
    return true;
}

} // namespace boragepath
