#pragma once

#include "control/row_store.h"
#include "tests/support/manual_clock.h"

#include <functional>
#include <map>

namespace boragepath {

/** Timers on a manual clock; tasks run in the order of their due times. */
class ManualTimers final : public Timers
{
public:
    explicit ManualTimers(ManualClock &clock)
        : m_clock(clock)
    { }

    void after(Duration delay, std::function<void()> task) override
    {
        m_tasks.emplace(m_clock.now() + std::max(delay, Duration::zero()), std::move(task));
    }

    /** Advances the clock by @p duration and runs all tasks that become due on the way. */
    void run(Duration duration)
    {
        const SteadyTime end = m_clock.now() + duration;
        while (!m_tasks.empty() && m_tasks.begin()->first <= end) {
            auto next = m_tasks.extract(m_tasks.begin());
            m_clock.advance(std::max(next.key() - m_clock.now(), Duration::zero()));
            next.mapped()();
        }
        m_clock.advance(end - m_clock.now());
    }

    /** The clock of a store: milliseconds since the start of the machines. */
    Milliseconds bootMillis() const
    {
        return std::chrono::duration_cast<Milliseconds>(m_clock.bootNow().time_since_epoch());
    }

private:
    ManualClock &m_clock;
    std::multimap<SteadyTime, std::function<void()>> m_tasks;
};

} // namespace boragepath
