#pragma once

#include "control/effects.h"
#include "control/table_types.h"
#include "core/clock.h"
#include "core/ids.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace boragepath {

/** How one item of a group commit ended. */
struct CommitResult
{
    enum class Kind {
        Committed,
        Conflict, ///< One of the item's own conditions failed; nothing of it was written.
        Fenced, ///< This incarnation has lost its row; nothing of it was written.
    };
    Kind kind = Kind::Fenced;
    /** Store revision of the commit. */
    RowRevision revision;
    /** On a conflict: the item's conditioned rows that exist. */
    std::map<std::string, Row> current;
};

/** Writes that belong together; it shares its transaction with other items. */
struct CommitItem
{
    std::vector<Condition> conditions;
    std::vector<Write> writes;
    /** Called just before the item is sent, to bring its writes up to date; may be empty. */
    std::function<void(std::vector<Write> &)> refresh;
    std::function<void(const CommitResult &)> done;
};

/** Safeguards that tests switch off, to show what they guard against. */
struct CommitSafeguards
{
    /** Every commit is conditional on this VM's own row. */
    bool fenceCondition = true;
    /** A lost answer is settled by the attempt number in this VM's own row. */
    bool attemptId = true;
};

/** Counters of the group commit, for metrics. */
struct CommitStatistics
{
    std::uint64_t commits = 0;
    std::uint64_t items = 0;
    std::uint64_t resends = 0;
    std::uint64_t conflicts = 0;
    Duration lastLatency{0};
};

/**
 * The group commit of one VM, and with it the VM's lease.
 *
 * One transaction is in flight at a time. Each writes the VM's own row and is
 * conditional on the row's revision, so the transactions form a chain: a VM
 * that has been fenced can write nothing more, and a transaction whose answer
 * was lost can be sent again as it is, because at most one copy can commit.
 * Whether it did is read from the attempt number in the row.
 */
class CommitQueue
{
public:
    struct Config
    {
        VmId vm;
        Duration leaseTerm;
        /** Mean time between two commits that this VM's share of the store allows. */
        Duration commitInterval;
        std::int64_t pendingBytesLimit = 0;
        CommitSafeguards safeguards;
    };

    CommitQueue(Config config, const Clock &clock, Effects &effects, std::uint64_t seed);

    /**
     * Starts the chain of a new incarnation whose own row was written at
     * @p ownRow with attempt number @p attempt.
     */
    void start(FenceNumber fence, RowRevision ownRow, std::uint64_t attempt, SteadyTime joinSentAt);
    /** Ends the chain; waiting items end as fenced. */
    void stop();

    void enqueue(CommitItem item);
    /** Sends what is due. */
    void tick();
    /** Takes the answer to transaction @p id; false if it is not of this queue. */
    bool onTransaction(std::uint64_t id, const TransactionOutcome &outcome);

    bool running() const { return m_running; }
    /** True while this VM may rely on its ownership. */
    bool leaseValid() const;
    SteadyTime leaseEnd() const { return m_leaseEnd; }
    FenceNumber fence() const { return m_fence; }
    /** True while the memory for waiting writes is used up. */
    bool full() const { return m_pendingBytes >= m_config.pendingBytesLimit; }
    /** True if nothing waits and nothing is in flight. */
    bool idle() const { return m_waiting.empty() && !m_inFlight; }
    /** True if the store has not answered the last attempt in time. */
    bool troubled() const { return m_failures > 0; }
    void setCommitInterval(Duration commitInterval) { m_config.commitInterval = commitInterval; }
    const CommitStatistics &statistics() const { return m_statistics; }

private:
    void buildBatch();
    void send();
    void finishBatch(RowRevision revision);
    void settleConflict(const TransactionOutcome &outcome);
    void loseRow();
    void scheduleResend();
    bool takeAllowance();
    std::int64_t bytesOf(const CommitItem &item) const;

    Config m_config;
    const Clock &m_clock;
    Effects &m_effects;
    std::mt19937_64 m_random;
    bool m_running = false;
    FenceNumber m_fence;
    RowRevision m_ownRow;
    std::uint64_t m_attempt = 0;
    SteadyTime m_leaseEnd;
    std::deque<CommitItem> m_waiting;
    std::int64_t m_pendingBytes = 0;
    /** The transaction under way, kept for sending it again. */
    bool m_inFlight = false;
    bool m_awaitingAnswer = false;
    std::uint64_t m_transactionId = 0;
    Transaction m_transaction;
    std::vector<CommitItem> m_batch;
    SteadyTime m_firstSent;
    SteadyTime m_nextSend;
    SteadyTime m_lastCommitStart;
    /** Commits that may start at once; grows by one with each spacing. */
    double m_allowance = 0;
    SteadyTime m_allowanceAt;
    int m_failures = 0;
    CommitStatistics m_statistics;
};

/** Id space of transactions that do not come from a CommitQueue starts here. */
constexpr std::uint64_t FirstJoinTransactionId = 1ULL << 62U;

} // namespace boragepath
