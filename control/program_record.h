#pragma once

#include "control/row_store.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace boragepath {

/** What one program has spent of its token budget. */
struct ProgramRecord
{
    /** Tokens of turns that have ended. */
    std::int64_t spent = 0;
    /** The most that each turn under way may still hand out. */
    std::map<AttemptId, std::int64_t> reserved;

    friend bool operator==(const ProgramRecord &, const ProgramRecord &) = default;
};

/** Spent and reserved tokens together. */
std::int64_t committedTokens(const ProgramRecord &record);

std::string encodeProgramRecord(const ProgramRecord &record);
/** Nothing if @p text is no record. */
std::optional<ProgramRecord> decodeProgramRecord(const std::string &text);

/** The row that keeps a program's record. */
RowName programRow(const ProgramId &program);

} // namespace boragepath
