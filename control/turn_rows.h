#pragma once

#include "control/row_store.h"
#include "core/ids.h"

#include <memory>
#include <string>
#include <vector>

namespace boragepath {

/**
 * The text of a conversation up to and including one turn: for each turn its input, then the
 * data of each of its events followed by a line feed.
 */
using Conversation = std::shared_ptr<const std::string>;

/**
 * Partitions of the store that rows are spread over, since one partition executes only few
 * transactions per second.
 */
constexpr std::size_t StorePartitionCount = 1'024;

/** The table of turns; the rows of one turn are in one partition. */
inline constexpr const char *TurnTable = "turns";

/** The name of partition number @p index. */
std::string partitionName(std::size_t index);
/** The partition for the rows of @p id, chosen by its hash. */
std::string partitionFor(const std::string &id);

/** Splits @p record into rows of limited size, with keys made from the id of @p turn. */
std::vector<RowPut> turnRows(const AttemptId &turn, const std::string &record);
/** The names of the @p count rows of a turn. */
std::vector<RowName> turnRowNames(const AttemptId &turn, std::size_t count);
/** The key range that holds the rows of a turn. */
RowRange turnRowRange(const AttemptId &turn);
/** Joins the rows of a turn into its record. */
std::string joinRows(const std::vector<StoreRow> &rows);

/** True if @p text may be part of a row key: 1 to 128 visible characters without '/'. */
bool isRowKeyText(const std::string &text);

} // namespace boragepath
