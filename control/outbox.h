#pragma once

#include "control/effects.h"
#include "control/members.h"
#include "core/ids.h"
#include "peers/gen/messages_types.h"

#include <map>

namespace boragepath {

/** Collects what is due for each VM, so that one datagram carries it. */
class Outbox
{
public:
    Outbox(Effects &effects, const Members &members);

    /** The datagram under way to @p vm. */
    peers::Envelope &to(const VmId &vm);
    /** Sends all datagrams, from the given incarnation. */
    void flush(const VmId &self, FenceNumber fence);

private:
    Effects &m_effects;
    const Members &m_members;
    std::map<VmId, peers::Envelope> m_envelopes;
};

} // namespace boragepath
