#include "control/object_locations.h"

namespace boragepath {

ObjectLocations::ObjectLocations(std::size_t maxObjects)
    : m_replicas(maxObjects)
{ }

void ObjectLocations::note(const PoolName &service, const std::string &object,
                           const ReplicaId &replica)
{
    m_replicas.put({service, object}) = replica;
}

ReplicaId ObjectLocations::find(const PoolName &service, const std::string &object) const
{
    const ReplicaId *replica = m_replicas.find({service, object});
    return replica == nullptr ? ReplicaId() : *replica;
}

} // namespace boragepath
