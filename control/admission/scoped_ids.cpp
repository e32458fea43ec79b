#include "control/admission/scoped_ids.h"

#include "core/hash.h"

#include <absl/strings/str_cat.h>

namespace boragepath {

namespace {

std::string scoped(const std::string &id, const OrganisationId &organisation)
{
    // The suffix has a fixed length, so that no id of another organisation can end alike.
    constexpr auto Digits = absl::kZeroPad12;
    return id.empty()
        ? id
        : absl::StrCat(id, "@", absl::Hex(fingerprintOf(organisation.value()), Digits));
}

} // namespace

AttemptId scopedTurn(const AttemptId &turn, const OrganisationId &organisation)
{
    return AttemptId(scoped(turn.value(), organisation));
}

ProgramId scopedProgram(const ProgramId &program, const OrganisationId &organisation)
{
    return ProgramId(scoped(program.value(), organisation));
}

} // namespace boragepath
