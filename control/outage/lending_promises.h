#pragma once

#include "control/row_store.h"
#include "control/vm_directory.h"
#include "core/clock.h"
#include "core/units.h"
#include "peers/gen/messages_types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace boragepath {

/**
 * By the fingerprints of the names of the lenders' incarnations: until when each lends little to
 * new programs, by the store's clock. Stored as one row.
 */
using PromiseRecord = std::map<std::int64_t, Milliseconds>;

std::string encodePromises(const PromiseRecord &record);
/** None if @p text is not a valid record. */
std::optional<PromiseRecord> decodePromises(const std::string &text);

/**
 * Promises of lenders: for a while each lends at most one turn to a program of which it knows no
 * row that says that the program borrows.
 *
 * Designed for the loss of all VMs, of which nobody is left who knows what was lent. A program that
 * has no row in the store may have borrowed, or begin only now. What remains is what the store was
 * told before: if it heard from a lender's VM again before the promise ran out, the lender has lent
 * one turn at most, which no row has to cover.
 *
 * One VM collects the promises and writes them as one row. In an outage nothing is collected, so
 * that they run out, and lenders lend more.
 */
class LendingPromises
{
public:
    using Send = std::function<void(const Endpoint &to, const peers::LendingNote &note)>;

    /** @param areLoansUnsettled true if the rows lack some of what this VM has lent. */
    LendingPromises(const Clock &clock, Timers &timers, RowStore &store, const VmDirectory &vms,
                    Send send, std::function<bool()> areLoansUnsettled);

    /**
     * Collects promises from the live VMs, and keeps those of the other @p lenders.
     * @param lenders names of the incarnations that lend.
     */
    void collect(const std::set<std::string> &lenders);
    /** Reads the promises, to tell which of the lenders that can't be heard have made one. */
    void read();
    /** Handles a request for a promise, or a promise. */
    void receive(const Endpoint &from, const peers::LendingNote &note);

    /** How long this VM still keeps its promise; 0 if it has made none. */
    Duration timeLeft() const;
    /** When the promises were last read; none if they were not. */
    std::optional<SteadyTime> readAt() const { return m_readAt; }
    /** True if @p lender has promised until @p time or later, by the store's clock. */
    bool isPromised(const std::string &lender, Milliseconds time) const;
    /** True if @p lender has promised until the local time @p time or later. */
    bool isPromisedAt(const std::string &lender, SteadyTime time) const;

private:
    void read(std::function<void()> done);
    void requestPromises(const std::set<std::string> &lenders);
    void requestPromise(const std::string &lender);
    bool promise();
    void write();

    const Clock &m_clock;
    Timers &m_timers;
    RowStore &m_store;
    const VmDirectory &m_vms;
    Send m_send;
    std::function<bool()> m_areLoansUnsettled;
    std::string m_self;
    std::optional<BootTime> m_promisedUntil;
    /** Number of the last round in which promises were collected. */
    std::int64_t m_round = 0;
    bool m_isCollecting = false;
    /** Until when a promise of this round holds, by the store's clock. */
    Milliseconds m_roundUntil{0};
    PromiseRecord m_collected;
    bool m_isReading = false;
    /** The promises as they were last read, and the version of their row. */
    PromiseRecord m_record;
    RowRevision m_recordVersion;
    std::optional<SteadyTime> m_readAt;
    /** The store's clock at that time. */
    Milliseconds m_storeTime{0};
};

} // namespace boragepath
