#include "control/prompt_locations.h"

namespace boragepath {

PromptLocations::PromptLocations(std::size_t maxPrograms)
    : m_programs(maxPrograms)
{ }

void PromptLocations::note(const ProgramId &program, const std::string &session,
                           const ReplicaId &replica)
{
    ProgramEntry &entry = m_programs.put(program);
    entry.sessions[session] = replica;
    entry.lastReplica = replica;
}

ReplicaId PromptLocations::find(const ProgramId &program, const std::string &session) const
{
    const ProgramEntry *entry = m_programs.find(program);
    if (entry == nullptr) {
        return ReplicaId();
    }
    const auto found = entry->sessions.find(session);
    return found == entry->sessions.end() ? entry->lastReplica : found->second;
}

} // namespace boragepath
