#include "control/store_health.h"

namespace boragepath {

namespace {

/** Consecutive failures of an outage; single calls fail while the store works, for example when a
 * packet is lost. */
constexpr int FailuresUntilUnavailable = 3;
/** Refusals by this many partitions in a row indicate an outage of all of them. */
constexpr std::size_t RefusingPartitionsOfOutage = 4;
/** After this long without any answer, failures indicate an outage and not single lost answers. */
constexpr Milliseconds SilenceUntilUnavailable{900};

} // namespace

StoreHealth::StoreHealth(const Clock &clock)
    : m_clock(clock)
    , m_lastAnswerAt(clock.now())
{ }

bool StoreHealth::noteAnswer()
{
    m_consecutiveFailures = 0;
    m_refusingPartitions.clear();
    m_lastAnswerAt = m_clock.now();
    const bool wasUnavailable = m_unavailable;
    m_unavailable = false;
    return wasUnavailable;
}

bool StoreHealth::noteRefusal(const std::string &partition)
{
    if (m_refusingPartitions.size() < RefusingPartitionsOfOutage) {
        m_refusingPartitions.insert(partition);
    }
    return noteFailure(m_refusingPartitions.size() >= RefusingPartitionsOfOutage
                       || m_clock.now() >= m_lastAnswerAt + SilenceUntilUnavailable);
}

bool StoreHealth::noteTimeout()
{
    return noteFailure(m_clock.now() >= m_lastAnswerAt + SilenceUntilUnavailable);
}

bool StoreHealth::noteFailure(bool mayBeOutage)
{
    m_consecutiveFailures += 1;
    if (m_unavailable || !mayBeOutage || m_consecutiveFailures < FailuresUntilUnavailable) {
        return false;
    }
    m_unavailable = true;
    return true;
}

} // namespace boragepath
