#include "standin/table_store.h"

#include <algorithm>

namespace boragepath {

bool TableStore::holds(const Condition &condition) const
{
    const auto found = m_rows.find(condition.key);
    const RowRevision actual = found == m_rows.end() ? RowRevision() : found->second.revision;
    return actual == condition.revision;
}

TransactionOutcome TableStore::apply(const Transaction &transaction)
{
    TransactionOutcome outcome;
    const bool good = std::all_of(transaction.conditions.begin(), transaction.conditions.end(),
                                  [this](const Condition &condition) { return holds(condition); });
    if (!good) {
        outcome.kind = TransactionOutcome::Kind::Conflict;
        outcome.revision = m_revision;
        for (const Condition &condition : transaction.conditions) {
            const auto found = m_rows.find(condition.key);
            if (found != m_rows.end()) {
                outcome.current.push_back(found->second);
            }
        }
        return outcome;
    }
    m_revision = RowRevision(m_revision.value() + 1);
    m_transactions += 1;
    m_rowWrites += transaction.writes.size();
    for (const Write &write : transaction.writes) {
        if (write.value.has_value()) {
            m_rows[write.key] = {write.key, *write.value, m_revision};
        } else {
            m_rows.erase(write.key);
        }
    }
    outcome.kind = TransactionOutcome::Kind::Committed;
    outcome.revision = m_revision;
    return outcome;
}

RangeOutcome TableStore::range(const RangeRequest &request) const
{
    RangeOutcome outcome;
    outcome.answered = true;
    outcome.storeRevision = m_revision;
    for (auto row = m_rows.lower_bound(request.prefix); row != m_rows.end(); ++row) {
        if (!row->first.starts_with(request.prefix)) {
            break;
        }
        if (row->second.revision > request.newerThan) {
            outcome.rows.push_back(row->second);
        }
    }
    return outcome;
}

std::optional<std::string> TableStore::valueOf(const std::string &key) const
{
    const auto found = m_rows.find(key);
    if (found == m_rows.end()) {
        return std::nullopt;
    }
    return found->second.value;
}

} // namespace boragepath
