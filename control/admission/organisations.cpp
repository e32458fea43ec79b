#include "control/admission/organisations.h"

#include <algorithm>

namespace boragepath {

bool OrganisationTable::add(const Organisation &organisation, const std::vector<KeyDigest> &keys)
{
    const bool isHeld = std::any_of(
        keys.begin(), keys.end(), [this](const KeyDigest &key) { return m_holders.contains(key); });
    if (isHeld || m_organisations.contains(organisation.id)) {
        return false;
    }
    m_organisations[organisation.id] = organisation;
    for (const KeyDigest &key : keys) {
        m_holders[key] = organisation.id;
    }
    return true;
}

const Organisation *OrganisationTable::findByKey(const KeyDigest &key) const
{
    const auto holder = m_holders.find(key);
    return holder == m_holders.end() ? nullptr : find(holder->second);
}

const Organisation *OrganisationTable::find(const OrganisationId &id) const
{
    const auto found = m_organisations.find(id);
    return found == m_organisations.end() ? nullptr : &found->second;
}

} // namespace boragepath
