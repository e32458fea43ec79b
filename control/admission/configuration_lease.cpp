#include "control/admission/configuration_lease.h"

#include <algorithm>

namespace boragepath {

void ConfigurationLease::confirm(BootTime time)
{
    m_confirmedAt = std::max(m_confirmedAt.value_or(time), time);
}

bool ConfigurationLease::isValid() const
{
    const std::optional<Duration> elapsed = age();
    return !m_term.has_value() || (elapsed.has_value() && *elapsed < *m_term);
}

std::optional<Duration> ConfigurationLease::age() const
{
    if (!m_confirmedAt.has_value()) {
        return std::nullopt;
    }
    return m_clock.bootNow() - *m_confirmedAt;
}

} // namespace boragepath
