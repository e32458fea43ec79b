#pragma once

#include "control/row_store.h"
#include "core/ids.h"

#include <memory>
#include <string>
#include <vector>

namespace boragepath {

/**
 * A conversation up to and including one turn: each turn's input, then the data
 * of each of its events and a line feed.
 */
using Conversation = std::shared_ptr<const std::string>;

/** Parts of the store that rows are spread over: one part carries out few transactions a second. */
constexpr std::size_t StorePartitionCount = 1'024;

/** The table of turns; the rows of one turn lie in one part. */
inline constexpr const char *TurnTable = "turns";

/** Name of the part number @p index. */
std::string partitionName(std::size_t index);
/** The part for a row that belongs to @p id. */
std::string partitionFor(const std::string &id);

/** The rows that keep @p record, which may be long, under the id of @p turn. */
std::vector<RowPut> turnRows(const AttemptId &turn, const std::string &record);
/** The names of a turn's rows. */
std::vector<RowName> turnRowNames(const AttemptId &turn, std::size_t count);
/** Where the rows of a turn lie. */
RowRange turnRange(const AttemptId &turn);
/** Joins the rows of a turn. */
std::string joinRows(const std::vector<StoreRow> &rows);

/** True if @p text may be part of a row's key: short, and without separators. */
bool isRowKeyText(const std::string &text);

} // namespace boragepath
