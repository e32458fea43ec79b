#include "control/turn_rows.h"

#include "core/hash.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace boragepath {

namespace {

/** Below the store's limit of 65,536 bytes per row. */
constexpr std::size_t MaxTurnRowBytes = 49'152;
/** Leaves room for what is appended to an id in the key of a row, of at most 200 bytes. */
constexpr std::size_t MaxKeyTextBytes = 160;

RowName turnRowName(const AttemptId &turn, std::size_t index)
{
    return {TurnTable, partitionFor(turn.value()), absl::StrFormat("%s/%03d", turn.value(), index)};
}

} // namespace

std::string partitionName(std::size_t index)
{
    return absl::StrCat("p", index);
}

std::string partitionFor(const std::string &id)
{
    return partitionName(hashOf(id) % StorePartitionCount);
}

std::size_t turnRowCount(std::size_t recordBytes)
{
    return std::max<std::size_t>(1, (recordBytes + MaxTurnRowBytes - 1) / MaxTurnRowBytes);
}

std::vector<RowPut> turnRows(const AttemptId &turn, const std::string &record, std::size_t first,
                             std::size_t end)
{
    std::vector<RowPut> rows;
    const std::size_t count = turnRowCount(record.size());
    for (std::size_t index = first; index < std::min(end, count); ++index) {
        rows.push_back(
            {turnRowName(turn, index), record.substr(index * MaxTurnRowBytes, MaxTurnRowBytes)});
    }
    return rows;
}

std::vector<RowName> turnRowNames(const AttemptId &turn, std::size_t count)
{
    std::vector<RowName> names;
    for (std::size_t index = 0; index < count; ++index) {
        names.push_back(turnRowName(turn, index));
    }
    return names;
}

RowRange turnRowRange(const AttemptId &turn)
{
    // '0' is the character that follows '/', so the range holds all keys that begin with "turn/".
    return {TurnTable, partitionFor(turn.value()), turn.value() + "/", turn.value() + "0"};
}

std::string joinRows(const AttemptId &turn, const std::vector<StoreRow> &rows)
{
    std::string text;
    if (rows.empty() || rows.front().name != turnRowName(turn, 0)) {
        return text;
    }
    for (const StoreRow &row : rows) {
        text += row.value;
    }
    return text;
}

bool isRowKeyText(const std::string &text)
{
    return !text.empty() && text.size() <= MaxKeyTextBytes
        && std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return absl::ascii_isgraph(c) && c != '/'; });
}

} // namespace boragepath
