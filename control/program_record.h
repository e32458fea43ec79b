#pragma once

#include "control/row_store.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <memory>
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

    friend bool operator==(const ProgramRecord &, const ProgramRecord &) = default;
};

/** Spent and reserved tokens together. */
std::int64_t committedTokens(const ProgramRecord &record);

std::string encodeProgramRecord(const ProgramRecord &record);
/** Nothing if @p text is no record. */
std::optional<ProgramRecord> decodeProgramRecord(const std::string &text);

/**
 * A conversation up to and including one turn: each turn's input, then the data
 * of each of its events and a line feed.
 */
using Conversation = std::shared_ptr<const std::string>;

/** Parts of the store that programs are spread over, since one part is slow. */
constexpr std::size_t StorePartCount = 16;

/** The part that keeps a program and the turns that it ended. */
std::string partOfProgram(const ProgramId &program);
/** The name of each part. */
std::vector<std::string> allParts();

RowName programRow(const ProgramId &program);
/** The rows that keep @p conversation as the one that ends with @p turn. */
std::vector<RowPut> conversationRows(const std::string &part, const AttemptId &turn,
                                     const std::string &conversation);
/** Where the rows of a turn lie within a part. */
RowRange conversationRange(const std::string &part, const AttemptId &turn);

/** True if @p text may be part of a row's key: short, and without separators. */
bool isRowKeyText(const std::string &text);

} // namespace boragepath
