#pragma once

#include "control/catalogue.h"
#include "control/commit_queue.h"
#include "control/effects.h"
#include "control/table_reader.h"
#include "core/clock.h"
#include "core/units.h"

#include <deque>
#include <functional>
#include <map>

namespace boragepath {

/** How a reservation ended. */
enum class ReserveOutcome {
    Reserved,
    Exhausted, ///< The entry's budget cannot cover the amount.
    Lost, ///< This incarnation was fenced.
};

/** What this VM holds of one entry's budget in one period. */
struct GrantView
{
    Amount amount;
    Amount spent;
    Amount reserved;
};

/**
 * This VM's share of every entry's budget.
 *
 * A call reserves its largest cost from the VM's grant before it is sent, and
 * settles what it really cost with its turn record. Grants are drawn from the
 * entry's ledger row, durably and before use, so what all VMs may spend never
 * passes the budget. What a dead VM had not settled counts as spent.
 */
class Ledger
{
public:
    using Done = std::function<void(ReserveOutcome)>;

    Ledger(VmId vm, const Clock &clock, CommitQueue &commits, TableReader &reader);

    /** Reserves @p amount; @p done may be called before this returns. */
    void reserve(const CatalogueEntry &entry, Amount amount, Done done);
    /** Gives an unused reservation back. */
    void cancel(const EntryName &entry, std::int64_t period, Amount reserved);
    /**
     * Turns a reservation into spending. Adds the write of the grant row to
     * @p item, which must then be committed. Without a reservation of this
     * incarnation (@p reserved is zero) nothing must have been spent.
     */
    void settle(const EntryName &entry, std::int64_t period, Amount reserved, Amount spent,
                CommitItem &item);
    /** Takes note of an entry's new limits: a lowered budget returns what is unspent. */
    void onEntryChanged(const CatalogueEntry &entry);
    /** Returns all that is unspent; for a planned stop. */
    void returnUnspent();
    /** Returns grants that have lain idle. */
    void tick();
    /** Forgets everything; for a new incarnation. */
    void reset();

    /** Current period of an entry. */
    std::int64_t periodOf(const CatalogueEntry &entry) const;
    /** This VM's grant, for reports and tests. */
    GrantView viewOf(const EntryName &entry, std::int64_t period) const;

private:
    struct Waiting
    {
        Amount amount;
        Done done;
    };
    struct Grant
    {
        Amount limit;
        GrantView view;
        LedgerRecord ledger;
        RowRevision ledgerRow;
        bool ledgerKnown = false;
        /** The view was read for the reservation that waits first. */
        bool ledgerFresh = false;
        bool busy = false;
        /** Doubles while draws are frequent, so that a busy entry draws seldom. */
        std::int64_t drawFactor = 1;
        SteadyTime lastDraw;
        SteadyTime lastUse;
        std::deque<Waiting> waiting;
        bool recall = false;
    };
    using Key = std::pair<EntryName, std::int64_t>;

    Grant &grantOf(const CatalogueEntry &entry);
    void pump(const Key &key);
    void readLedger(const Key &key);
    void draw(const Key &key, Amount want);
    void giveBack(const Key &key);
    void change(const Key &key, Amount delta);
    void afterChange(const Key &key, Amount delta, const CommitResult &result);
    void endAll(Grant &grant, ReserveOutcome outcome);
    Write grantWrite(const Key &key, Amount amount) const;

    VmId m_vm;
    const Clock &m_clock;
    CommitQueue &m_commits;
    TableReader &m_reader;
    std::map<Key, Grant> m_grants;
};

/**
 * Closes the grants of a dead incarnation: what it had settled counts as
 * spent, the rest as unaccounted. Calls @p done when the grant rows are gone.
 */
void closeGrants(const VmId &vm, FenceNumber fence, CommitQueue &commits, TableReader &reader,
                 std::function<void()> done);

} // namespace boragepath
