#pragma once

#include "control/row_store.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace boragepath {

/** The rows of the platform's store, in memory; each change has a version and a place in history.
 */
class RowTable
{
public:
    /** Carries a transaction out if all its conditions hold. */
    TransactionResult apply(const RowTransaction &transaction);
    /** The rows of a range, in key order. */
    std::vector<StoreRow> range(const RowRange &range) const;
    /** Changes of a table after a version, in order; nothing if history does not reach back. */
    std::optional<std::vector<StoreRow>> changes(const std::string &table, RowRevision after) const;
    /** Forgets what changed before now. */
    void compactHistory() { m_forgottenUpTo = m_version; }

    RowRevision version() const { return RowRevision(m_version); }
    const std::map<RowName, StoreRow> &rows() const { return m_rows; }

private:
    std::map<RowName, StoreRow> m_rows;
    std::map<std::uint64_t, std::vector<StoreRow>> m_history;
    std::uint64_t m_version = 0;
    std::uint64_t m_forgottenUpTo = 0;
};

} // namespace boragepath
