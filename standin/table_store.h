#pragma once

#include "control/table_types.h"

#include <map>
#include <string>

namespace boragepath {

/** A transactional in-memory table that replaces the table service in tests and local runs. */
class TableStore
{
public:
    /** Commits all writes if every condition holds; otherwise changes nothing. */
    TransactionOutcome apply(const Transaction &transaction);
    /** Returns the current rows under a prefix that are newer than the requested revision. */
    RangeOutcome range(const RangeRequest &request) const;
    /** The value of a row, or std::nullopt if it does not exist. */
    std::optional<std::string> valueOf(const std::string &key) const;

    const std::map<std::string, Row> &rows() const { return m_rows; }
    RowRevision revision() const { return m_revision; }
    std::uint64_t transactions() const { return m_transactions; }
    std::uint64_t rowWrites() const { return m_rowWrites; }

private:
    bool holds(const Condition &condition) const;

    std::map<std::string, Row> m_rows;
    RowRevision m_revision;
    std::uint64_t m_transactions = 0;
    std::uint64_t m_rowWrites = 0;
};

} // namespace boragepath
