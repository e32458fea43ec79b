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

/** Number of rows that a record of this length takes. */
std::size_t turnRowCount(std::size_t recordBytes);
/** The rows number @p first to before @p end of a turn's record, as far as it has them. */
std::vector<RowPut> turnRows(const AttemptId &turn, const std::string &record, std::size_t first,
                             std::size_t end);
/** The names of the @p count rows of a turn. */
std::vector<RowName> turnRowNames(const AttemptId &turn, std::size_t count);
/** The key range that holds the rows of a turn. */
RowRange turnRowRange(const AttemptId &turn);
/**
 * Joins the rows of a turn into its record; empty if the first one, which is written last, is
 * missing.
 */
std::string joinRows(const AttemptId &turn, const std::vector<StoreRow> &rows);

/** True if @p text may be part of a row key: 1 to 128 visible characters without '/'. */
bool isRowKeyText(const std::string &text);

} // namespace boragepath
