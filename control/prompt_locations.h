#pragma once

#include "core/ids.h"

#include <cstddef>
#include <list>
#include <map>
#include <string>

namespace boragepath {

/**
 * Where the prompts of programs were last read, as a hint for placement.
 *
 * Serves the load pattern of programs whose turns come through many VMs: the
 * first turn may go to whichever replica is least busy, and the later ones find
 * it. A wrong or missing hint costs reading the prompt again.
 */
class PromptLocations
{
public:
    explicit PromptLocations(std::size_t maxPrograms);

    void note(const ProgramId &program, const std::string &session, const ReplicaId &replica);
    /** The replica of that line of turns, else of any line of the program, else none. */
    ReplicaId find(const ProgramId &program, const std::string &session) const;

private:
    struct Entry
    {
        std::map<std::string, ReplicaId> sessions;
        ReplicaId latest;
        std::list<ProgramId>::iterator age;
    };

    std::size_t m_maxPrograms;
    std::map<ProgramId, Entry> m_programs;
    /** Least recently noted first. */
    std::list<ProgramId> m_ages;
};

} // namespace boragepath
