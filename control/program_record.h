#pragma once

#include "control/row_store.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace boragepath {

/** What one program has spent of its token budget. */
struct ProgramRecord
{
    /** Tokens of turns that have ended. */
    std::int64_t spent = 0;
    /** The most that each turn under way may still hand out. */
    std::map<AttemptId, std::int64_t> reserved;
    /**
     * Turns settled last, oldest first: a reservation or settlement that is made
     * again, or arrives late, is recognized by them.
     */
    std::vector<AttemptId> settled;

    friend bool operator==(const ProgramRecord &, const ProgramRecord &) = default;
};

/** Reserves for a turn; false if the budget does not cover it. */
bool reserveTurn(ProgramRecord &record, const AttemptId &turn, std::int64_t most,
                 std::int64_t budget);
/** Replaces a turn's reservation by what it handed out. */
void settleTurn(ProgramRecord &record, const AttemptId &turn, std::int64_t tokens);
/** True if the turn is among those settled last. */
bool isSettled(const ProgramRecord &record, const AttemptId &turn);
/** Spent and reserved tokens together. */
std::int64_t committedTokens(const ProgramRecord &record);
/** The same without grants, whose holders will give back what they do not use. */
std::int64_t firmTokens(const ProgramRecord &record);

/** The name of a VM's grant in a record, unlike the id of any turn. */
AttemptId grantName(const std::string &holder);

std::string encodeProgramRecord(const ProgramRecord &record);
/** Nothing if @p text is no record. */
std::optional<ProgramRecord> decodeProgramRecord(const std::string &text);

/** The table of programs' records, one row each. */
inline constexpr const char *ProgramTable = "programs";

/** The row that keeps a program's record. */
RowName programRow(const ProgramId &program);

} // namespace boragepath
