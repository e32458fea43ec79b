#pragma once

#include "core/clock.h"

#include <atomic>
#include <set>
#include <string>

namespace boragepath {

/**
 * Failure detector for the platform's store, fed with the results of this VM's calls.
 *
 * During an outage of the store, work that needs it is refused at once instead of
 * waiting for timeouts. While only some partitions of the store are down, the rest of
 * the work goes on: retries on one partition, however many, are no evidence of an
 * outage of the whole store.
 */
class StoreHealth
{
public:
    explicit StoreHealth(const Clock &clock);

    /** The store answered a call. Returns true if it counted as unavailable until now. */
    bool noteAnswer();
    /**
     * A call to a partition was refused. Returns true if the store counts as unavailable from
     * now on, which takes refusals by several partitions or a time without any answer.
     */
    bool noteRefusal(const std::string &partition);
    /**
     * A call was not answered. Returns true if the store counts as unavailable from now on,
     * which takes a time without any answer: single answers are lost while the store works.
     */
    bool noteTimeout();
    bool unavailable() const { return m_unavailable; }
    /** Time since the store last answered. */
    Duration timeSinceAnswer() const { return m_clock.now() - m_lastAnswerAt; }

private:
    bool noteFailure(bool mayBeOutage);

    const Clock &m_clock;
    int m_consecutiveFailures = 0;
    /** Partitions that refused calls since the last answer. */
    std::set<std::string> m_refusingPartitions;
    /** Atomic because the metrics page reads it on another thread. */
    std::atomic<bool> m_unavailable = false;
    SteadyTime m_lastAnswerAt;
};

} // namespace boragepath
