#include "tests/support/memory_row_store.h"

namespace boragepath {

namespace {

constexpr Milliseconds ReadTime{4};
constexpr Milliseconds WriteTime{12};
constexpr Milliseconds CallTimeout{1'000};
constexpr Milliseconds EarliestLate{1'000};
constexpr Milliseconds LatestLate{6'000};

} // namespace

MemoryRowStore::MemoryRowStore(ManualTimers &timers, std::uint64_t seed)
    : m_timers(timers)
    , m_random(seed)
{ }

bool MemoryRowStore::happens(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

TransactionResult MemoryRowStore::apply(const RowTransaction &transaction)
{
    TransactionResult result;
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
        result.version = RowRevision(m_version);
        return result;
    }
    result.current.clear();
    m_version += 1;
    for (const RowPut &put : transaction.puts) {
        const StoreRow row{put.name, put.value, RowRevision(m_version), false};
        m_rows[put.name] = row;
        m_history[m_version] = row;
    }
    for (const RowName &name : transaction.removals) {
        m_rows.erase(name);
        m_history[m_version] = {name, "", RowRevision(m_version), true};
    }
    result.version = RowRevision(m_version);
    return result;
}

void MemoryRowStore::transact(RowTransaction transaction,
                              std::function<void(const TransactionResult &)> done)
{
    m_transactions += 1;
    TransactionResult unknown;
    if (m_faults.away) {
        m_timers.after(CallTimeout, [done, unknown] { done(unknown); });
        return;
    }
    if (happens(m_faults.refused)) {
        TransactionResult refused;
        refused.answer = StoreAnswer::NotDone;
        m_timers.after(ReadTime, [done, refused] { done(refused); });
        return;
    }
    const bool isLate = happens(m_faults.late);
    if (isLate) {
        std::uniform_int_distribution<Duration::rep> delay(Duration(EarliestLate).count(),
                                                           Duration(LatestLate).count());
        m_timers.after(Duration(delay(m_random)), [this, transaction] { apply(transaction); });
        m_timers.after(CallTimeout, [done, unknown] { done(unknown); });
        return;
    }
    const bool answered = !happens(m_faults.unanswered);
    m_timers.after(WriteTime, [this, transaction, done, answered] {
        const TransactionResult result = apply(transaction);
        if (answered) {
            done(result);
        }
    });
    if (!answered) {
        m_timers.after(CallTimeout, [done, unknown] { done(unknown); });
    }
}

std::vector<StoreRow> MemoryRowStore::rowsIn(const RowRange &range) const
{
    std::vector<StoreRow> rows;
    for (const auto &[name, row] : m_rows) {
        const bool inside = name.table == range.table && name.part == range.part
            && name.key >= range.from && (range.to.empty() || name.key < range.to);
        if (inside) {
            rows.push_back(row);
        }
    }
    return rows;
}

void MemoryRowStore::read(RowRange range, std::function<void(const ReadResult &)> done)
{
    if (m_faults.away) {
        m_timers.after(CallTimeout, [done] { done(ReadResult()); });
        return;
    }
    const bool refused = happens(m_faults.refused);
    m_timers.after(ReadTime, [this, range, done, refused] {
        ReadResult result;
        result.answer = refused ? StoreAnswer::NotDone : StoreAnswer::Done;
        if (!refused) {
            result.rows = rowsIn(range);
            result.version = RowRevision(m_version);
        }
        done(result);
    });
}

void MemoryRowStore::feed(FeedRequest request, std::function<void(const ReadResult &)> done)
{
    const Duration delay =
        m_faults.away ? Duration(CallTimeout) : std::max<Duration>(request.wait, ReadTime);
    m_timers.after(delay, [this, request, done] {
        ReadResult result;
        if (m_faults.away) {
            done(result);
            return;
        }
        if (request.after.value() < m_forgottenUpTo) {
            result.answer = StoreAnswer::HistoryGone;
            done(result);
            return;
        }
        result.answer = StoreAnswer::Done;
        result.version = RowRevision(m_version);
        for (auto item = m_history.upper_bound(request.after.value()); item != m_history.end();
             ++item) {
            if (item->second.name.table == request.table) {
                result.rows.push_back(item->second);
            }
        }
        done(result);
    });
}

void MemoryRowStore::put(const RowName &name, const std::string &value)
{
    apply({{}, {{name, value}}, {}});
}

void MemoryRowStore::remove(const RowName &name)
{
    apply({{}, {}, {name}});
}

} // namespace boragepath
