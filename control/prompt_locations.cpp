#include "control/prompt_locations.h"

namespace boragepath {

PromptLocations::PromptLocations(std::size_t maxPrograms)
    : m_maxPrograms(maxPrograms)
{ }

void PromptLocations::note(const ProgramId &program, const std::string &session,
                           const ReplicaId &replica)
{
    const auto known = m_programs.find(program);
    if (known != m_programs.end()) {
        m_ages.erase(known->second.age);
    }
    Entry &entry = m_programs[program];
    entry.sessions[session] = replica;
    entry.latest = replica;
    entry.age = m_ages.insert(m_ages.end(), program);
    if (m_programs.size() > m_maxPrograms) {
        m_programs.erase(m_ages.front());
        m_ages.pop_front();
    }
}

ReplicaId PromptLocations::find(const ProgramId &program, const std::string &session) const
{
    const auto known = m_programs.find(program);
    if (known == m_programs.end()) {
        return ReplicaId();
    }
    const auto line = known->second.sessions.find(session);
    return line == known->second.sessions.end() ? known->second.latest : line->second;
}

} // namespace boragepath
