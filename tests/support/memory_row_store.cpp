#include "tests/support/memory_row_store.h"

namespace boragepath {

namespace {

constexpr Milliseconds ReadLatency{4};
constexpr Milliseconds WriteLatency{12};
constexpr Milliseconds CallTimeout{1'000};
constexpr Milliseconds MinApplyDelay{1'000};
constexpr Milliseconds MaxApplyDelay{6'000};

} // namespace

MemoryRowStore::MemoryRowStore(ManualTimers &timers, std::uint64_t seed)
    : m_timers(timers)
    , m_random(seed)
{ }

bool MemoryRowStore::drawFault(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

void MemoryRowStore::transact(RowTransaction transaction,
                              std::function<void(const TransactionResult &)> done)
{
    m_transactions += 1;
    TransactionResult unknown;
    if (m_faults.unavailable) {
        m_timers.after(CallTimeout, [done, unknown] { done(unknown); });
        return;
    }
    if (drawFault(m_faults.refused)) {
        TransactionResult refused;
        refused.answer = StoreAnswer::Rejected;
        m_timers.after(ReadLatency, [done, refused] { done(refused); });
        return;
    }
    const bool appliedLate = drawFault(m_faults.late);
    if (appliedLate) {
        std::uniform_int_distribution<Duration::rep> delay(Duration(MinApplyDelay).count(),
                                                           Duration(MaxApplyDelay).count());
        m_timers.after(Duration(delay(m_random)),
                       [this, transaction] { m_table.apply(transaction); });
        m_timers.after(CallTimeout, [done, unknown] { done(unknown); });
        return;
    }
    const bool answered = !drawFault(m_faults.unanswered);
    m_timers.after(WriteLatency, [this, transaction, done, answered] {
        TransactionResult result = m_table.apply(transaction);
        result.storeTime = m_timers.bootMillis();
        if (answered) {
            done(result);
        }
    });
    if (!answered) {
        m_timers.after(CallTimeout, [done, unknown] { done(unknown); });
    }
}

void MemoryRowStore::read(RowRange range, std::function<void(const ReadResult &)> done)
{
    if (m_faults.unavailable) {
        m_timers.after(CallTimeout, [done] { done(ReadResult()); });
        return;
    }
    const bool refused = drawFault(m_faults.refused);
    m_timers.after(ReadLatency, [this, range, done, refused] {
        ReadResult result;
        result.answer = refused ? StoreAnswer::Rejected : StoreAnswer::Done;
        if (!refused) {
            result.rows = m_table.range(range);
            result.version = m_table.version();
            result.storeTime = m_timers.bootMillis();
        }
        done(result);
    });
}

void MemoryRowStore::feed(FeedRequest request, std::function<void(const ReadResult &)> done)
{
    const Duration delay = m_faults.unavailable ? Duration(CallTimeout)
                                                : std::max<Duration>(request.wait, ReadLatency);
    m_timers.after(delay, [this, request, done] {
        ReadResult result;
        if (m_faults.unavailable) {
            done(result);
            return;
        }
        const auto changes = m_table.changes(request.table, request.after);
        result.answer = changes.has_value() ? StoreAnswer::Done : StoreAnswer::HistoryCompacted;
        result.version = m_table.version();
        result.storeTime = m_timers.bootMillis();
        result.rows = changes.value_or(std::vector<StoreRow>());
        done(result);
    });
}

void MemoryRowStore::put(const RowName &name, const std::string &value)
{
    m_table.apply({{}, {{name, value}}, {}});
}

void MemoryRowStore::remove(const RowName &name)
{
    m_table.apply({{}, {}, {name}});
}

} // namespace boragepath
