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

/** The outcome of one item of a group commit. */
struct CommitResult
{
    enum class Kind {
        Committed,
        Conflict, ///< One of the item's own conditions failed. Nothing of the item was written.
        Fenced, ///< This incarnation was fenced or stopped; an item in flight may be written.
    };
    Kind kind = Kind::Fenced;
    /** Store revision of the commit. */
    RowRevision revision;
    /** After a conflict: the existing rows that the item's conditions name. */
    std::map<std::string, Row> current;
};

/** Writes that are committed together. A transaction may carry several items. */
struct CommitItem
{
    std::vector<Condition> conditions;
    std::vector<Write> writes;
    /** Updates the writes just before the item is added to a transaction; may be empty. */
    std::function<void(std::vector<Write> &)> refresh;
    std::function<void(const CommitResult &)> done;
};

/**
 * Safeguards of the commit queue. Production runs with all of them; tests disable one at a time to
 * show which failure it prevents.
 */
struct CommitSafeguards
{
    /** Every commit is conditional on the revision of this VM's own row. */
    bool fenceCondition = true;
    /** After a lost answer, the attempt number in this VM's own row shows if it was committed. */
    bool attemptId = true;
};

/** Counters of the commit queue, for metrics. */
struct CommitStatistics
{
    std::uint64_t commits = 0;
    std::uint64_t items = 0;
    std::uint64_t resends = 0;
    std::uint64_t conflicts = 0;
    Duration lastLatency{0};
};

/**
 * Group commit of one VM. Its commits also renew the VM's lease.
 *
 * One transaction is in flight at a time. Each transaction writes the VM's own row and is
 * conditional on that row's revision, so the transactions form a chain. A VM that has been fenced
 * can therefore write nothing more. A transaction whose answer was lost can be resent unchanged,
 * because at most one copy of it can commit; the attempt number in the row shows whether one did.
 */
class CommitQueue
{
public:
    struct Config
    {
        VmId vm;
        Duration leaseTerm;
        /** Mean time between two commits under this VM's share of the store's write rate. */
        Duration commitInterval;
        std::int64_t pendingBytesLimit = 0;
        CommitSafeguards safeguards;
    };

    CommitQueue(Config config, const Clock &clock, Effects &effects, std::uint64_t seed);

    /**
     * Starts the chain of transactions of a new incarnation. Its own row was written at revision
     * @p ownRow with attempt number @p attempt. The lease starts at @p joinSentAt.
     */
    void start(FenceNumber fence, RowRevision ownRow, std::uint64_t attempt, SteadyTime joinSentAt);
    /** Ends the chain of transactions. Waiting items end as Fenced. */
    void stop();

    /** Adds an item. If the queue is not running, the item ends at once as Fenced. */
    void enqueue(CommitItem item);
    /** Sends the next transaction, or resends the current one, if it is due. */
    void tick();
    /** Handles the answer to transaction @p id. Returns false if the id is not from this queue. */
    bool onTransaction(std::uint64_t id, const TransactionOutcome &outcome);

    bool running() const { return m_running; }
    /** True while the queue runs and the VM's lease has not expired. */
    bool leaseValid() const;
    SteadyTime leaseEnd() const { return m_leaseEnd; }
    FenceNumber fence() const { return m_fence; }
    /** True if the pending writes have reached the limit on their memory. */
    bool full() const { return m_pendingBytes >= m_config.pendingBytesLimit; }
    /** True if no item is waiting and no transaction is in flight. */
    bool idle() const { return m_waiting.empty() && !m_inFlight; }
    /** True if the store did not answer the last transaction in time. */
    bool retrying() const { return m_failures > 0; }
    void setCommitInterval(Duration commitInterval) { m_config.commitInterval = commitInterval; }
    const CommitStatistics &statistics() const { return m_statistics; }

private:
    void buildBatch();
    void send();
    void completeBatch(RowRevision revision);
    void resolveConflict(const TransactionOutcome &outcome);
    void onFenced();
    void scheduleResend();
    bool takeCommitCredit();
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
    /** True while a transaction is unfinished; it is kept so that it can be resent. */
    bool m_inFlight = false;
    bool m_awaitingAnswer = false;
    std::uint64_t m_transactionId = 0;
    Transaction m_transaction;
    std::vector<CommitItem> m_batch;
    SteadyTime m_firstSent;
    SteadyTime m_nextSend;
    SteadyTime m_lastCommitStart;
    /** Commits that may start at once. Grows by one per commit interval, up to a maximum. */
    double m_commitCredits = 0;
    SteadyTime m_creditsUpdatedAt;
    int m_failures = 0;
    CommitStatistics m_statistics;
};

/** First transaction id of a Joiner. The transaction ids of a CommitQueue are smaller. */
constexpr std::uint64_t FirstJoinTransactionId = 1ULL << 62U;

} // namespace boragepath
