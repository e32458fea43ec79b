#pragma once

#include "core/clock.h"

#include <optional>

namespace boragepath {

/**
 * Until when this VM may rely on the API keys of the configuration that it has read.
 *
 * A key that has been taken away must not open anything once the term has passed, also at a VM
 * that can't reach the store. A read of the store shows what was in force when it was sent, so the
 * lease counts from then, and not from the answer, which may be late. It is measured by a clock
 * that goes on while the machine is suspended.
 */
class ConfigurationLease
{
public:
    explicit ConfigurationLease(const Clock &clock)
        : m_clock(clock)
    { }

    /** No term means that the lease never runs out. */
    void setTerm(std::optional<Duration> term) { m_term = term; }
    std::optional<Duration> term() const { return m_term; }
    /**
     * No newer valid configuration existed at @p time. An invalid version does not count, since the
     * one before it stays in force.
     */
    void confirm(BootTime time);
    bool isValid() const;
    /** Time since the configuration was last known to be the newest; none if it never was. */
    std::optional<Duration> age() const;

private:
    const Clock &m_clock;
    std::optional<Duration> m_term;
    std::optional<BootTime> m_confirmedAt;
};

} // namespace boragepath
