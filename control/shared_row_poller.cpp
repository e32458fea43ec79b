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
                                 std::function<void(const std::vector<Row> &)> take)
    : m_clock(clock)
    , m_reader(reader)
    , m_interval(interval)
    , m_take(std::move(take))
{ }

void SharedRowPoller::tick()
{
    if (!m_reading && m_clock.now() >= m_nextRead) {
        read();
    }
}

void SharedRowPoller::hint(RowRevision revision)
{
    if (revision <= m_newestRow) {
        return;
    }
    if (m_reading) {
        m_again = true;
        return;
    }
    read();
}

void SharedRowPoller::refresh(std::function<void(bool)> done)
{
    m_refreshes.push_back(std::move(done));
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
    if (!m_reading && !m_refreshes.empty()) {
        read();
    }
}

void SharedRowPoller::confirm(Duration age)
{
    if (m_ready) {
        m_freshAt = std::max(m_freshAt, m_clock.now() - age);
    }
}

Duration SharedRowPoller::age() const
{
    return m_clock.now() - m_freshAt;
}

void SharedRowPoller::read()
{
    m_reading = true;
    m_again = false;
    m_refreshing = std::exchange(m_refreshes, {});
    const SteadyTime started = m_clock.now();
    const std::uint64_t generation = m_generation;
    m_reader.readOnce({keys::sharedPrefix(), m_position}, [=, this](const RangeOutcome &outcome) {
        if (generation != m_generation) {
            return;
        }
        m_reading = false;
        if (!outcome.answered) {
            m_nextRead = m_clock.now() + RetryInterval;
            finishRefreshes(std::exchange(m_refreshing, {}), false);
            return;
        }
        m_nextRead = m_again ? m_clock.now() : started + m_interval;
        m_freshAt = std::max(m_freshAt, started);
        m_position = std::max(m_position, outcome.storeRevision);
        for (const Row &row : outcome.rows) {
            m_newestRow = std::max(m_newestRow, row.revision);
        }
        m_ready = true;
        m_take(outcome.rows);
        finishRefreshes(std::exchange(m_refreshing, {}), true);
    });
}

void SharedRowPoller::reset()
{
    m_generation += 1;
    m_reading = false;
    m_again = false;
    m_nextRead = m_clock.now();
    std::vector<std::function<void(bool)>> refreshes = std::exchange(m_refreshing, {});
    std::move(m_refreshes.begin(), m_refreshes.end(), std::back_inserter(refreshes));
    m_refreshes.clear();
    for (const auto &done : refreshes) {
        done(false);
    }
}

} // namespace boragepath
