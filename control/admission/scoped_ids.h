#pragma once

#include "core/ids.h"

namespace boragepath {

/**
 * The id under which an organisation's turn or program is stored. Callers choose their ids freely,
 * so that two organisations may use the same one; the suffix keeps what they store apart. An empty
 * id stays empty.
 */
AttemptId scopedTurn(const AttemptId &turn, const OrganisationId &organisation);
ProgramId scopedProgram(const ProgramId &program, const OrganisationId &organisation);

} // namespace boragepath
