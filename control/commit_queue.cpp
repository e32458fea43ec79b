#include "control/commit_queue.h"

#include "control/backoff.h"
#include "control/records.h"

#include <algorithm>

namespace boragepath {

namespace {

/** Writes in one transaction at most; keeps it within usual table service limits. */
constexpr std::size_t MaxWritesPerTransaction = 120;
constexpr std::size_t MaxBytesPerTransaction = 1'000'000;
/** Commits that a VM may start in a row after it was quiet. */
constexpr double MostAllowance = 8;
/** The own row is written at least this often in a lease term. */
constexpr int RenewalsPerTerm = 3;

} // namespace

CommitQueue::CommitQueue(Config config, const Clock &clock, Effects &effects, std::uint64_t seed)
    : m_config(std::move(config))
    , m_clock(clock)
    , m_effects(effects)
    , m_random(seed)
{ }

void CommitQueue::start(FenceNumber fence, RowRevision ownRow, std::uint64_t attempt,
                        SteadyTime joinSentAt)
{
    m_running = true;
    m_fence = fence;
    m_ownRow = ownRow;
    m_attempt = attempt;
    m_leaseEnd = joinSentAt + m_config.leaseTerm;
    m_lastCommitStart = joinSentAt;
    m_allowance = MostAllowance;
    m_allowanceAt = m_clock.now();
    m_failures = 0;
}

void CommitQueue::stop()
{
    m_running = false;
    m_inFlight = false;
    m_awaitingAnswer = false;
    std::vector<CommitItem> ended = std::move(m_batch);
    m_batch.clear();
    std::move(m_waiting.begin(), m_waiting.end(), std::back_inserter(ended));
    m_waiting.clear();
    m_pendingBytes = 0;
    for (CommitItem &item : ended) {
        item.done({CommitResult::Kind::Fenced, {}, {}});
    }
}

bool CommitQueue::leaseValid() const
{
    return m_running && m_clock.now() < m_leaseEnd;
}

std::int64_t CommitQueue::bytesOf(const CommitItem &item) const
{
    std::int64_t bytes = 0;
    for (const Write &write : item.writes) {
        bytes += static_cast<std::int64_t>(write.key.size());
        bytes += write.value.has_value() ? static_cast<std::int64_t>(write.value->size()) : 0;
    }
    return bytes;
}

void CommitQueue::enqueue(CommitItem item)
{
    if (!m_running) {
        item.done({CommitResult::Kind::Fenced, {}, {}});
        return;
    }
    m_pendingBytes += bytesOf(item);
    m_waiting.push_back(std::move(item));
}

void CommitQueue::tick()
{
    if (!m_running || m_awaitingAnswer) {
        return;
    }
    const SteadyTime now = m_clock.now();
    if (m_inFlight) {
        if (now >= m_nextSend) {
            m_statistics.resends += 1;
            send();
        }
        return;
    }
    const bool renewalDue = now >= m_lastCommitStart + m_config.leaseTerm / RenewalsPerTerm;
    // A quiet VM commits at once, a busy one as often as its share allows.
    if (renewalDue || (!m_waiting.empty() && takeAllowance())) {
        buildBatch();
        send();
    }
}

bool CommitQueue::takeAllowance()
{
    const SteadyTime now = m_clock.now();
    const double gained = std::chrono::duration<double>(now - m_allowanceAt)
        / std::chrono::duration<double>(m_config.commitInterval);
    m_allowance = std::min(MostAllowance, m_allowance + gained);
    m_allowanceAt = now;
    if (m_allowance < 1) {
        return false;
    }
    m_allowance -= 1;
    return true;
}

void CommitQueue::buildBatch()
{
    m_attempt += 1;
    m_lastCommitStart = m_clock.now();
    m_firstSent = m_lastCommitStart;
    m_transaction = {};
    m_batch.clear();
    const std::string ownKey = keys::vm(m_config.vm);
    if (m_config.safeguards.fenceCondition) {
        m_transaction.conditions.push_back({ownKey, m_ownRow});
    }
    m_transaction.writes.push_back({ownKey, encode(VmRecord{m_fence, m_attempt, false})});
    std::set<std::string> written;
    std::size_t bytes = 0;
    while (!m_waiting.empty()) {
        CommitItem &item = m_waiting.front();
        const std::size_t itemBytes = static_cast<std::size_t>(bytesOf(item));
        const bool repeatsKey =
            std::any_of(item.writes.begin(), item.writes.end(),
                        [&](const Write &write) { return written.contains(write.key); });
        const bool tooLarge =
            m_transaction.writes.size() + item.writes.size() > MaxWritesPerTransaction
            || bytes + itemBytes > MaxBytesPerTransaction;
        if (!m_batch.empty() && (repeatsKey || tooLarge)) {
            break;
        }
        bytes += itemBytes;
        if (item.refresh) {
            m_pendingBytes -= bytesOf(item);
            item.refresh(item.writes);
            m_pendingBytes += bytesOf(item);
        }
        for (const Write &write : item.writes) {
            written.insert(write.key);
            m_transaction.writes.push_back(write);
        }
        m_transaction.conditions.insert(m_transaction.conditions.end(), item.conditions.begin(),
                                        item.conditions.end());
        m_batch.push_back(std::move(item));
        m_waiting.pop_front();
    }
    m_inFlight = true;
}

void CommitQueue::send()
{
    m_awaitingAnswer = true;
    m_transactionId += 1;
    m_effects.transact(m_transactionId, m_transaction);
}

void CommitQueue::scheduleResend()
{
    m_nextSend = m_clock.now() + jitteredBackoff(m_failures, m_random);
    m_failures += 1;
}

bool CommitQueue::onTransaction(std::uint64_t id, const TransactionOutcome &outcome)
{
    if (id >= FirstJoinTransactionId) {
        return false;
    }
    if (!m_running || !m_awaitingAnswer || id != m_transactionId) {
        return true;
    }
    m_awaitingAnswer = false;
    switch (outcome.kind) {
    case TransactionOutcome::Kind::NoAnswer:
        scheduleResend();
        break;
    case TransactionOutcome::Kind::Committed:
        m_failures = 0;
        finishBatch(outcome.revision);
        break;
    case TransactionOutcome::Kind::Conflict:
        m_failures = 0;
        settleConflict(outcome);
        break;
    }
    return true;
}

void CommitQueue::finishBatch(RowRevision revision)
{
    m_inFlight = false;
    m_ownRow = revision;
    m_leaseEnd = m_firstSent + m_config.leaseTerm;
    m_statistics.commits += 1;
    m_statistics.items += m_batch.size();
    m_statistics.lastLatency = m_clock.now() - m_firstSent;
    std::vector<CommitItem> batch = std::move(m_batch);
    m_batch.clear();
    for (CommitItem &item : batch) {
        m_pendingBytes -= bytesOf(item);
    }
    for (CommitItem &item : batch) {
        item.done({CommitResult::Kind::Committed, revision, {}});
    }
}

void CommitQueue::settleConflict(const TransactionOutcome &outcome)
{
    std::map<std::string, Row> current;
    for (const Row &row : outcome.current) {
        current[row.key] = row;
    }
    const std::string ownKey = keys::vm(m_config.vm);
    if (m_config.safeguards.fenceCondition) {
        const auto own = current.find(ownKey);
        if (own == current.end()) {
            loseRow();
            return;
        }
        if (own->second.revision != m_ownRow) {
            const std::optional<VmRecord> record = decodeVm(own->second.value);
            const bool ours = record.has_value() && !record->fenced && record->fence == m_fence
                && record->attempt == m_attempt;
            if (ours && m_config.safeguards.attemptId) {
                finishBatch(own->second.revision);
                return;
            }
            loseRow();
            return;
        }
    }
    // This VM's row is as expected, so a condition of some item failed. Those
    // items end here; the others go back to the front in their order.
    m_inFlight = false;
    m_statistics.conflicts += 1;
    std::vector<CommitItem> batch = std::move(m_batch);
    m_batch.clear();
    std::vector<CommitItem> failed;
    for (auto item = batch.rbegin(); item != batch.rend(); ++item) {
        const bool holds = std::all_of(
            item->conditions.begin(), item->conditions.end(), [&](const Condition &condition) {
                const auto row = current.find(condition.key);
                const RowRevision actual =
                    row == current.end() ? RowRevision() : row->second.revision;
                return actual == condition.revision;
            });
        if (holds) {
            m_waiting.push_front(std::move(*item));
        } else {
            m_pendingBytes -= bytesOf(*item);
            failed.push_back(std::move(*item));
        }
    }
    m_allowance = std::max(m_allowance, 1.0);
    for (auto item = failed.rbegin(); item != failed.rend(); ++item) {
        CommitResult result{CommitResult::Kind::Conflict, {}, {}};
        for (const Condition &condition : item->conditions) {
            const auto row = current.find(condition.key);
            if (row != current.end()) {
                result.current.insert(*row);
            }
        }
        item->done(result);
    }
}

void CommitQueue::loseRow()
{
    m_effects.log("fenced", "this incarnation lost its row in the table service");
    stop();
}

} // namespace boragepath
