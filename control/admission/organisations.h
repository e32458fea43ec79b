#pragma once

#include "core/ids.h"
#include "core/key_digest.h"
#include "core/units.h"

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace boragepath {

/** How many requests an organisation may send through all VMs together. */
struct RequestQuota
{
    /** 0 for no limit. */
    RequestRate rate;
    /** Requests that may come at once after a pause. */
    double burst = 0;

    bool isLimited() const { return rate.value() > 0; }

    friend bool operator==(const RequestQuota &, const RequestQuota &) = default;
};

/** A customer of the deployment; each of its requests carries one of its API keys. */
struct Organisation
{
    OrganisationId id;
    /** Goes before the priority of the route; 0 is the most urgent. */
    std::optional<int> priority;
    RequestQuota quota;
};

/** The organisations of one version of the configuration, and who holds which API key. */
class OrganisationTable
{
public:
    /** False, and nothing is added, if the organisation is known or another one holds a key. */
    bool add(const Organisation &organisation, const std::vector<KeyDigest> &keys);

    /** Null if nobody holds the key. */
    const Organisation *findByKey(const KeyDigest &key) const;
    /** Null if the configuration doesn't name it. */
    const Organisation *find(const OrganisationId &id) const;
    std::size_t size() const { return m_organisations.size(); }

private:
    std::map<OrganisationId, Organisation> m_organisations;
    std::unordered_map<KeyDigest, OrganisationId> m_holders;
};

} // namespace boragepath
