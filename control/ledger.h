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

/** The outcome of a reservation. */
enum class ReserveOutcome {
    Reserved,
    Exhausted, ///< The rest of the entry's budget does not cover the amount.
    OwnershipLost, ///< This incarnation of the VM was fenced.
};

/** This VM's part of one entry's budget in one period. */
struct GrantView
{
    /** Granted to this VM; includes what is spent and reserved. */
    Amount amount;
    /** Cost of settled calls. */
    Amount spent;
    /** Maximum cost of calls that are not settled yet. */
    Amount reserved;
};

/**
 * Manages this VM's budget grants, one for each entry and budget period.
 *
 * A call reserves its maximum cost from the VM's grant before it is sent. Its actual cost is
 * settled in the same commit as its turn record. Grants are drawn from the entry's ledger row in
 * the table service and are durable before they are used, so what all VMs together may spend never
 * exceeds the budget. Whatever a failed VM had not settled counts as spent.
 */
class Ledger
{
public:
    using Done = std::function<void(ReserveOutcome)>;

    Ledger(VmId vm, const Clock &clock, CommitQueue &commits, TableReader &reader);

    /** Reserves @p amount; @p done may be called before this returns. */
    void reserve(const CatalogueEntry &entry, Amount amount, Done done);
    /** Cancels an unused reservation, which makes its amount available to other calls. */
    void cancel(const EntryName &entry, std::int64_t period, Amount reserved);
    /**
     * Replaces a reservation by the actual cost @p spent. Adds the write of the grant row to
     * @p item, which the caller must then commit. If @p reserved is zero, because this incarnation
     * holds no reservation for the call, @p spent must be zero too.
     */
    void settle(const EntryName &entry, std::int64_t period, Amount reserved, Amount spent,
                CommitItem &item);
    /** Applies an entry's new budget. A decrease returns the unspent part of the grant. */
    void onEntryChanged(const CatalogueEntry &entry);
    /** Returns the unspent part of every grant, before a planned stop. */
    void returnUnspent();
    /** Returns the unspent part of grants from which no call has reserved for a while. */
    void tick();
    /** Ends all pending reservations and drops all grants, before a new incarnation starts. */
    void reset();

    /** Returns the number of the entry's current budget period. */
    std::int64_t periodOf(const CatalogueEntry &entry) const;
    /** Returns this VM's grant, for reports and tests. */
    GrantView viewOf(const EntryName &entry, std::int64_t period) const;

private:
    struct PendingReservation
    {
        Amount amount;
        Done done;
    };
    struct Grant
    {
        /** The entry's budget for the whole period. */
        Amount limit;
        GrantView view;
        /** The ledger row as it was last read or written. */
        LedgerRecord ledger;
        RowRevision ledgerRow;
        bool ledgerKnown = false;
        /** True if the row was read since the last draw or refusal; a refusal requires this. */
        bool ledgerFresh = false;
        /** True while a read or a commit of the ledger row is under way. */
        bool requestInFlight = false;
        /**
         * Multiple of the needed amount to draw. Doubled while draws are frequent, so that a busy
         * entry writes the ledger row rarely.
         */
        std::int64_t drawFactor = 1;
        SteadyTime lastDraw;
        SteadyTime lastUse;
        std::deque<PendingReservation> pending;
        /** True if the unspent part is to be returned. */
        bool returnRequested = false;
    };
    using GrantKey = std::pair<EntryName, std::int64_t>;

    Grant &grantOf(const CatalogueEntry &entry);
    void serveReservations(const GrantKey &key);
    void readLedger(const GrantKey &key);
    void drawGrant(const GrantKey &key, Amount want);
    void returnUnused(const GrantKey &key);
    void commitChange(const GrantKey &key, Amount delta);
    void onChangeResult(const GrantKey &key, Amount delta, const CommitResult &result);
    void completeAll(Grant &grant, ReserveOutcome outcome);
    Write grantWrite(const GrantKey &key, Amount amount) const;

    VmId m_vm;
    const Clock &m_clock;
    CommitQueue &m_commits;
    TableReader &m_reader;
    std::map<GrantKey, Grant> m_grants;
};

/**
 * Closes the grants of a dead incarnation. What it had settled counts as spent and the rest as
 * unaccounted. Calls @p done when all its grant rows are deleted. @p done is not called if this VM
 * is fenced meanwhile or a grant row cannot be decoded.
 */
void closeGrants(const VmId &vm, FenceNumber fence, CommitQueue &commits, TableReader &reader,
                 std::function<void()> done);

} // namespace boragepath
