#pragma once

#include "core/ids.h"
#include "core/lru_map.h"

#include <cstddef>
#include <string>
#include <utility>

namespace boragepath {

/**
 * Remembers which replica last handled each object of a service, as a hint for
 * placement. Holds a bounded number of objects and evicts the least recently noted.
 *
 * Designed for services whose replicas keep what they have loaded for an object, so
 * that the next request about the same object takes them less work. With a wrong or
 * missing hint the request only takes longer.
 */
class ObjectLocations
{
public:
    explicit ObjectLocations(std::size_t maxObjects);

    /** Records that @p replica has handled a request about the object. */
    void note(const PoolName &service, const std::string &object, const ReplicaId &replica);
    /** The replica that was noted last for the object, or an empty id. */
    ReplicaId find(const PoolName &service, const std::string &object) const;

private:
    /** Ids of objects are unique only within a service. */
    using ObjectKey = std::pair<PoolName, std::string>;

    LruMap<ObjectKey, ReplicaId> m_replicas;
};

} // namespace boragepath
