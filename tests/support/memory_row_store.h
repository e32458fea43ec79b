#pragma once

#include "control/row_store.h"
#include "standin/row_table.h"
#include "tests/support/manual_timers.h"

#include <map>
#include <random>
#include <string>

namespace boragepath {

/** How the store misbehaves; shares from 0 to 1. */
struct StoreFaults
{
    /** Calls that are refused; nothing is done. */
    double refused = 0;
    /** Writes that are done and not answered. */
    double unanswered = 0;
    /** Writes that are not answered and done seconds later, if their conditions still hold. */
    double late = 0;
    bool unavailable = false;
};

/** The platform's store in memory, for one or more VMs, with faults. */
class MemoryRowStore final : public RowStore
{
public:
    MemoryRowStore(ManualTimers &timers, std::uint64_t seed);

    void transact(RowTransaction transaction,
                  std::function<void(const TransactionResult &)> done) override;
    void read(RowRange range, std::function<void(const ReadResult &)> done) override;
    void feed(FeedRequest request, std::function<void(const ReadResult &)> done) override;

    /** Writes as the operator or a replica would, at once. */
    void put(const RowName &name, const std::string &value);
    void remove(const RowName &name);
    /** Forgets what changed before now. */
    void compact() { m_table.compactHistory(); }
    StoreFaults &faults() { return m_faults; }
    const std::map<RowName, StoreRow> &rows() const { return m_table.rows(); }
    int transactions() const { return m_transactions; }

private:
    bool happens(double share);

    ManualTimers &m_timers;
    std::mt19937_64 m_random;
    StoreFaults m_faults;
    RowTable m_table;
    int m_transactions = 0;
};

} // namespace boragepath
