#include "control/shared_row_poller.h"

#include "control/records.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace boragepath {

namespace {

constexpr Milliseconds RetryInterval{200};

} // namespace

SharedRowPoller::SharedRowPoller(const Clock &clock, TableReader &reader, Duration interval,
                                 std::function<void(const std::vector<Row> &)> applyRows)
    : m_clock(clock)
    , m_reader(reader)
    , m_interval(interval)
    , m_applyRows(std::move(applyRows))
{ }

void SharedRowPoller::tick()
{
    if (!m_reading && m_clock.now() >= m_nextRead) {
        read();
    }
}

void SharedRowPoller::readIfBehind(RowRevision revision)
{
    if (revision <= m_newestRow) {
        return;
    }
    if (m_reading) {
        m_rereadRequested = true;
        return;
    }
    read();
}

void SharedRowPoller::refresh(std::function<void(bool)> done)
{
    m_queuedRefreshes.push_back(std::move(done));
    if (!m_reading) {
        read();
    }
}

void SharedRowPoller::finishRefreshes(const std::vector<std::function<void(bool)>> &refreshes,
                                      bool answered)
{
    for (const auto &done : refreshes) {
        done(answered);
    }
    if (!m_reading && !m_queuedRefreshes.empty()) {
        read();
    }
}

void SharedRowPoller::confirmFreshness(Duration age)
{
    if (m_ready) {
        m_upToDateAt = std::max(m_upToDateAt, m_clock.now() - age);
    }
}

Duration SharedRowPoller::age() const
{
    return m_clock.now() - m_upToDateAt;
}

void SharedRowPoller::read()
{
    m_reading = true;
    m_rereadRequested = false;
    m_activeRefreshes = std::exchange(m_queuedRefreshes, {});
    const SteadyTime started = m_clock.now();
    const std::uint64_t generation = m_generation;
    m_reader.readOnce({keys::sharedPrefix(), m_readUpTo}, [=, this](const RangeOutcome &outcome) {
        if (generation != m_generation) {
            return;
        }
        m_reading = false;
        if (!outcome.answered) {
            m_nextRead = m_clock.now() + RetryInterval;
            finishRefreshes(std::exchange(m_activeRefreshes, {}), false);
            return;
        }
        m_nextRead = m_rereadRequested ? m_clock.now() : started + m_interval;
        m_upToDateAt = std::max(m_upToDateAt, started);
        m_readUpTo = std::max(m_readUpTo, outcome.storeRevision);
        for (const Row &row : outcome.rows) {
            m_newestRow = std::max(m_newestRow, row.revision);
        }
        m_ready = true;
        m_applyRows(outcome.rows);
        finishRefreshes(std::exchange(m_activeRefreshes, {}), true);
    });
}

void SharedRowPoller::reset()
{
    m_generation += 1;
    m_reading = false;
    m_rereadRequested = false;
    m_nextRead = m_clock.now();
    std::vector<std::function<void(bool)>> refreshes = std::exchange(m_activeRefreshes, {});
    std::move(m_queuedRefreshes.begin(), m_queuedRefreshes.end(), std::back_inserter(refreshes));
    m_queuedRefreshes.clear();
    for (const auto &done : refreshes) {
        done(false);
    }
}

} // namespace boragepath
