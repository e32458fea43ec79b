#include "control/prompt_locations.h"

namespace boragepath {

PromptLocations::PromptLocations(std::size_t maxPrograms)
    : m_maxPrograms(maxPrograms)
{ }

void PromptLocations::note(const ProgramId &program, const std::string &session,
                           const ReplicaId &replica)
{
    const auto found = m_programs.find(program);
    if (found != m_programs.end()) {
        m_lruOrder.erase(found->second.lruPosition);
    }
    ProgramEntry &programEntry = m_programs[program];
    programEntry.sessions[session] = replica;
    programEntry.lastReplica = replica;
    programEntry.lruPosition = m_lruOrder.insert(m_lruOrder.end(), program);
    if (m_programs.size() > m_maxPrograms) {
        m_programs.erase(m_lruOrder.front());
        m_lruOrder.pop_front();
    }
}

ReplicaId PromptLocations::find(const ProgramId &program, const std::string &session) const
{
    const auto found = m_programs.find(program);
    if (found == m_programs.end()) {
        return ReplicaId();
    }
    const auto sessionEntry = found->second.sessions.find(session);
    return sessionEntry == found->second.sessions.end() ? found->second.lastReplica
                                                        : sessionEntry->second;
}

} // namespace boragepath
