#pragma once

#include "control/row_store.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace boragepath {

/** The rows of the simulated store in memory, with a versioned history of all changes. */
class RowTable
{
public:
    /**
     * Applies a transaction if all its conditions hold; otherwise returns a conflict. One that is
     * too large gets no answer that says what became of it.
     */
    TransactionResult apply(const RowTransaction &transaction);
    /** Returns the rows of a range in key order. */
    std::vector<StoreRow> range(const RowRange &range) const;
    /** Changes of a table after a version, in order; std::nullopt if they have been compacted. */
    std::optional<std::vector<StoreRow>> changes(const std::string &table, RowRevision after) const;
    /** Discards the history up to the current version. */
    void compactHistory() { m_compactedUpTo = m_version; }

    RowRevision version() const { return RowRevision(m_version); }
    const std::map<RowName, StoreRow> &rows() const { return m_rows; }

private:
    std::map<RowName, StoreRow> m_rows;
    std::map<std::uint64_t, std::vector<StoreRow>> m_history;
    std::uint64_t m_version = 0;
    std::uint64_t m_compactedUpTo = 0;
};

} // namespace boragepath
