#pragma once

#include "control/row_store.h"
#include "standin/row_table.h"
#include "tests/support/manual_timers.h"

#include <map>
#include <random>
#include <string>

namespace boragepath {

/** Faults to inject; each rate is a probability from 0 to 1. */
struct StoreFaults
{
    /** Rate of calls that are refused without any effect. */
    double refused = 0;
    /** Rate of writes that are applied but not answered. */
    double unanswered = 0;
    /** Rate of writes that are not answered, and applied seconds later if their conditions hold. */
    double late = 0;
    /** No call has an effect or gets an answer. */
    bool unavailable = false;
};

/** In-memory implementation of the platform's store for one or more VMs, with fault injection. */
class MemoryRowStore final : public RowStore
{
public:
    MemoryRowStore(ManualTimers &timers, std::uint64_t seed);

    void transact(RowTransaction transaction,
                  std::function<void(const TransactionResult &)> done) override;
    void read(RowRange range, std::function<void(const ReadResult &)> done) override;
    void feed(FeedRequest request, std::function<void(const ReadResult &)> done) override;

    /** Writes a row at once and without faults, as the operator or a replica would. */
    void put(const RowName &name, const std::string &value);
    /** Removes a row at once and without faults. */
    void remove(const RowName &name);
    /** Discards the history of changes, so that older feeds cannot continue. */
    void compact() { m_table.compactHistory(); }
    StoreFaults &faults() { return m_faults; }
    const std::map<RowName, StoreRow> &rows() const { return m_table.rows(); }
    int transactions() const { return m_transactions; }

private:
    bool drawFault(double probability);

    ManualTimers &m_timers;
    std::mt19937_64 m_random;
    StoreFaults m_faults;
    RowTable m_table;
    int m_transactions = 0;
};

} // namespace boragepath
