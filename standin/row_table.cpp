#include "standin/row_table.h"

namespace boragepath {

namespace {

/** Limits of the users' platform for one transaction. */
constexpr std::size_t MaxEntries = 100;
constexpr std::size_t MaxBytes = 1'000'000;
/** Values are sent as Base64. */
constexpr std::size_t EncodedBytes = 4;
constexpr std::size_t DecodedBytes = 3;

bool isTooLarge(const RowTransaction &transaction)
{
    std::size_t bytes = 0;
    for (const RowPut &put : transaction.puts) {
        bytes += put.value.size() * EncodedBytes / DecodedBytes + put.name.key.size();
    }
    const std::size_t entries =
        transaction.conditions.size() + transaction.puts.size() + transaction.removals.size();
    return entries > MaxEntries || bytes > MaxBytes;
}

} // namespace

TransactionResult RowTable::apply(const RowTransaction &transaction)
{
    TransactionResult result;
    if (isTooLarge(transaction)) {
        result.answer = StoreAnswer::Unknown;
        return result;
    }
    result.answer = StoreAnswer::Done;
    for (const RowCondition &condition : transaction.conditions) {
        const auto found = m_rows.find(condition.name);
        const RowRevision version = found == m_rows.end() ? RowRevision(0) : found->second.version;
        if (version != condition.version) {
            result.answer = StoreAnswer::Conflict;
        }
        if (found != m_rows.end()) {
            result.current.push_back(found->second);
        }
    }
    if (result.answer == StoreAnswer::Conflict) {
        result.version = version();
        return result;
    }
    result.current.clear();
    m_version += 1;
    std::vector<StoreRow> &changed = m_history[m_version];
    for (const RowPut &put : transaction.puts) {
        const StoreRow row{put.name, put.value, version(), false};
        m_rows[put.name] = row;
        changed.push_back(row);
    }
    for (const RowName &name : transaction.removals) {
        m_rows.erase(name);
        changed.push_back({name, "", version(), true});
    }
    result.version = version();
    return result;
}

std::vector<StoreRow> RowTable::range(const RowRange &range) const
{
    std::vector<StoreRow> rows;
    for (auto item = m_rows.lower_bound({range.table, range.partition, range.from});
         item != m_rows.end(); ++item) {
        const RowName &name = item->first;
        const bool inside = name.table == range.table && name.partition == range.partition
            && (range.to.empty() || name.key < range.to);
        if (!inside) {
            break;
        }
        rows.push_back(item->second);
    }
    return rows;
}

std::optional<std::vector<StoreRow>> RowTable::changes(const std::string &table,
                                                       RowRevision after) const
{
    if (after.value() < m_compactedUpTo) {
        return std::nullopt;
    }
    std::vector<StoreRow> rows;
    for (auto item = m_history.upper_bound(after.value()); item != m_history.end(); ++item) {
        for (const StoreRow &row : item->second) {
            if (row.name.table == table) {
                rows.push_back(row);
            }
        }
    }
    return rows;
}

} // namespace boragepath
