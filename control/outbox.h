#pragma once

#include "control/effects.h"
#include "control/members.h"
#include "core/ids.h"
#include "peers/gen/messages_types.h"

#include <map>

namespace boragepath {

/** Collects the messages for each VM, so that one datagram carries them. */
class Outbox
{
public:
    Outbox(Effects &effects, const Members &members);

    /** The envelope that will be sent to @p vm at the next flush. */
    peers::Envelope &to(const VmId &vm);
    /** Sends all envelopes, with this VM's id and incarnation; drops those for unknown VMs. */
    void flush(const VmId &self, FenceNumber fence);

private:
    Effects &m_effects;
    const Members &m_members;
    std::map<VmId, peers::Envelope> m_envelopes;
};

} // namespace boragepath
