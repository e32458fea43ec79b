#include "control/outbox.h"

namespace boragepath {

Outbox::Outbox(Effects &effects, const Members &members)
    : m_effects(effects)
    , m_members(members)
{ }

peers::Envelope &Outbox::to(const VmId &vm)
{
    return m_envelopes[vm];
}

void Outbox::flush(const VmId &self, FenceNumber fence)
{
    for (auto &[vm, envelope] : m_envelopes) {
        const MemberRecord *member = m_members.find(vm);
        if (member == nullptr) {
            continue;
        }
        envelope.vm = self.value();
        envelope.fence = static_cast<std::int64_t>(fence.value());
        m_effects.sendDatagram(member->peers, envelope);
    }
    m_envelopes.clear();
}

} // namespace boragepath
