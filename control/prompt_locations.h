#pragma once

#include "core/ids.h"
#include "core/lru_map.h"

#include <cstddef>
#include <map>
#include <string>

namespace boragepath {

/**
 * Remembers which replica last processed the prompts of each program, as a hint for
 * placement. Holds a bounded number of programs and evicts the least recently noted.
 *
 * Designed for programs whose turns arrive through many VMs: the first turn may go
 * to the least busy replica, and later turns follow it to the cached prompt. With a
 * wrong or missing hint, a replica has to process the prompt again.
 */
class PromptLocations
{
public:
    explicit PromptLocations(std::size_t maxPrograms);

    /** Records that @p replica processed the latest prompt of this session. */
    void note(const ProgramId &program, const std::string &session, const ReplicaId &replica);
    /**
     * The replica noted for the session, else the one last noted for any session of the
     * program, else an empty id.
     */
    ReplicaId find(const ProgramId &program, const std::string &session) const;

private:
    struct ProgramEntry
    {
        std::map<std::string, ReplicaId> sessions;
        ReplicaId lastReplica;
    };

    LruMap<ProgramId, ProgramEntry> m_programs;
};

} // namespace boragepath
