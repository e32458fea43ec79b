#pragma once

#include "control/outage/lender_table.h"
#include "control/outage/lending_promises.h"
#include "control/outage/lending_rights.h"
#include "control/outage/lending_witness.h"
#include "control/outage/loss_inquiry.h"
#include "control/program_ledger.h"
#include "control/row_store.h"
#include "control/vm_directory.h"
#include "core/clock.h"
#include "core/endpoint.h"
#include "core/ids.h"
#include "core/logging.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace boragepath {

/** What a VM knows of the tokens that a program has used. */
struct ProgramKnowledge
{
    /** When the program's row that it knows had been read or written; none if it knows none. */
    std::optional<BootTime> rowSeenAt;
    /** The last use of the programs that it has forgotten; none if it has forgotten none. */
    std::optional<BootTime> lastForgottenUse;
};

/** Whether a VM may lend to a program at the moment. */
enum class LoanPermission {
    Granted,
    /** The VM's witnesses have been told, and are likely to answer soon. */
    Pending,
    Denied,
};

/**
 * Decides which VM may lend the budget of a program while the store is away.
 *
 * Each partition of the programs has one lender at most. It alone may reserve a whole budget in the
 * program's row, and may let the program use a part of it without the store; what that part leaves
 * is for all other VMs together (splitBudget()). The lenders stand in one row, which is changed by
 * a condition on its version. A lender relies on the row for a limited time after it has read it,
 * by a clock that goes on while the machine is suspended.
 *
 * What a lender has lent is in its memory alone, but witnesses know whether it can have lent
 * anything that the rows lack (LendingRights). If a lender is lost and they say that it has not,
 * its successor reserves whole budgets at once. Else its programs have the part of the others,
 * until they have ended.
 */
class BudgetLenders
{
public:
    /** How this VM's loans stand, and what to do when it may lend after it could not. */
    struct Loans
    {
        /** True if the rows lack some of what this VM has lent. */
        std::function<bool()> areUnsettled;
        std::function<void()> onGranted;
    };

    /**
     * @param isFirstStart the whole system starts for the first time, so that no program has used
     *     a budget before.
     */
    BudgetLenders(const Clock &clock, Timers &timers, RowStore &store, const VmDirectory &vms,
                  bool isFirstStart, LendingRights::Send send, Loans loans, std::uint64_t seed);

    /** Reads the lenders, and follows their changes from then on. */
    void start();
    /**
     * How much of a program's budget this VM may reserve. While nobody knows what was lent, whole
     * budgets of programs that are never lent to: by a lender that does not know what one before
     * it has lent, or by all VMs while the lender can't be heard.
     */
    BudgetAuthority authorityOver(const ProgramId &program) const;
    /** True if this VM may reserve the whole budget of a program, whatever turns it has. */
    bool hasFullAuthority(const ProgramId &program) const
    {
        return authorityOver(program) == BudgetAuthority::Whole;
    }
    /**
     * True if this VM may lend to a program: it has seen the program's row in its tenure, or can
     * tell that the program has used nothing but what this VM has lent.
     */
    bool mayLend(const ProgramId &program, const ProgramKnowledge &knowledge) const;
    /** mayLend(), and whether the witnesses know; tells them if they don't. */
    LoanPermission askToLend(const ProgramId &program, const ProgramKnowledge &knowledge);
    /**
     * From now on a route in force stores turns. A program may have such turns and others, so that
     * lenders lend little to programs of which they know no row.
     */
    void storeTurns() { m_storesTurns = true; }
    /**
     * None if this VM may lend more than one turn to a program of which it knows no row. Else how
     * long it may not; 0 if that is not known.
     */
    std::optional<Duration> oneTurnLimit() const;
    /** The witnesses have been told that this VM lends, and are likely to answer soon. */
    bool isLoanPending() const { return m_rights.isPending(); }
    /** Adds who lends for a program, and which lost lender is why nobody may use its whole budget.
     */
    void describeTenure(const ProgramId &program, LogLine &line) const;
    /** Handles a message from the VM at @p from. */
    void receive(const Endpoint &from, const peers::LendingNote &note);
    /**
     * The VM that coordinates the budget of a program; nothing if it is this VM. The lender if it
     * is live, else the one chosen by rendezvous hashing.
     */
    std::optional<Endpoint> coordinatorFor(const ProgramId &program) const;

    /** From now on this VM neither lends nor reserves whole budgets, since it is about to stop. */
    void giveUp() { m_gaveUp = true; }
    /**
     * Gives this VM's partitions to others. To be called after giveUp(), when the program rows
     * contain all that it has lent and reserved; may be called again until isReleased().
     *
     * @param recentPrograms the programs that this VM has met lately, so that its successors can
     *     tell new ones; none if it may have forgotten some.
     */
    void release(const std::optional<std::vector<ProgramId>> &recentPrograms);
    /** Programs without a turn since this time have ended. */
    BootTime oldestRecentUse() const;
    /** The store has confirmed that this VM has no partitions to release any more. */
    bool isReleased() const { return m_released; }

private:
    /** When this VM learnt that it lends for a partition, and what came before. */
    struct OwnTenure
    {
        /** Its number in the table. */
        std::int64_t number = 0;
        BootTime since;
        PreviousTenure previous = PreviousTenure::None;
        /** The programs that the lender before knew; null if that is unknown. */
        std::shared_ptr<const ReleasedPrograms> programsBefore;
    };
    /** What a VM wrote when it released its partitions. */
    struct Release
    {
        std::shared_ptr<const ReleasedPrograms> programs;
        SteadyTime seenAt;
    };

    const OwnTenure *validTenure(const ProgramId &program) const;
    /** How much of a budget may be reserved by a VM that is not its lender. */
    BudgetAuthority authorityBeside(const std::string &lender) const;
    /** Time after which programs that the new lender has not met have ended. */
    static Duration delayAfter(PreviousTenure previous);
    /** True if that time has passed. */
    bool isSettled(const OwnTenure &tenure) const;
    /** True if the rows show all that programs have used of their lender's part. */
    bool isComplete(const OwnTenure &tenure) const;
    /** From then on no lender before reserves whole budgets any more. */
    static BootTime exclusiveFrom(const OwnTenure &tenure);
    void read();
    void follow();
    void apply(const std::vector<StoreRow> &rows);
    void applyTable(const StoreRow &row);
    void setTable(LenderTable table);
    /** Remembers whom a change of the table replaces without knowing what they have lent. */
    void noteLostLenders(const LenderTable &next);
    /** The row is gone or can't be read, so that nobody knows what has been lent. */
    void forgetTable();
    void applyRelease(const StoreRow &row);
    /** The tenure that begins with an entry of the table for this VM. */
    OwnTenure beginTenure(const LenderTenure &entry) const;
    void removeOldReleases();
    /** The programs known here, and those that lenders before this one knew. */
    ReleasedPrograms programsToPassOn(const std::vector<ProgramId> &recentPrograms) const;
    /** Replaces lost lenders if this VM is the one to do it. */
    void checkLenders();
    /** Live VMs, and lenders that may be live: silent for a short time, or with most others. */
    std::vector<std::string> availableVms();
    /** Notes whether this VM and most others have heard each other since the last check. */
    void noteWhetherHeard(std::size_t silent, std::size_t lenders);
    /** Finds the silent lenders that can have lent at most one turn to programs without a row. */
    void checkSilentLenders();
    std::set<std::string> lendersOfTable() const;
    /** True if a lost lender's promise to lend little held until it was lost. */
    bool keptItsPromise(const std::string &lender, const LossInquiry &inquiry) const;
    /** True if @p lender is an earlier incarnation of this VM. */
    bool isOwnIncarnation(const std::string &lender) const;
    void askForStart(const std::string &lender);
    void answerStart(const Endpoint &from, const peers::LendingNote &note);
    /** Keeps the list of witnesses, and marks partitions whose waiting time is over. */
    void maintainOwnTenures();
    /** Starts and goes on with the inquiries about lost lenders; true once all have a result. */
    bool inquire(const std::set<std::string> &lost);
    void startInquiry(const std::string &lender);
    void askWitnesses(const std::string &lender, const LossInquiry &inquiry);
    void handleTestimony(const peers::LendingNote &note);
    /** Writes a table in which these lenders are replaced. */
    void replace(const std::set<std::string> &lost, const std::vector<std::string> &available);
    struct TableChange
    {
        LenderTable table;
        std::vector<RowCondition> conditions;
        std::vector<RowPut> puts;
        std::vector<RowName> removals;
    };
    void write(TableChange change, std::function<void(bool)> done);
    Milliseconds retryDelay();

    const Clock &m_clock;
    Timers &m_timers;
    RowStore &m_store;
    const VmDirectory &m_vms;
    std::string m_self;
    bool m_isFirstStart;
    std::mt19937_64 m_random;
    LenderTable m_table;
    /** Version of the last change of the row with the table that was seen. */
    RowRevision m_tableVersion;
    bool m_rowExists = false;
    RowRevision m_feedVersion;
    bool m_hasRead = false;
    /** The table was the newest one at this time. */
    std::optional<BootTime> m_confirmedAt;
    std::map<std::size_t, OwnTenure> m_ownTenures;
    /** By partition, the last lender that was lost with unknown loans; for the log. */
    std::map<std::size_t, std::string> m_lostLenders;
    /** By the names of the VMs that released their partitions. */
    std::map<std::string, Release> m_releases;
    /** Since when each lender has not been live. */
    std::map<std::string, SteadyTime> m_silentSince;
    /** Silent lenders that can have lent at most one turn to programs without a row. */
    std::set<std::string> m_promisedSilent;
    /** This VM hears more than half of the lenders. */
    bool m_hearsMost = false;
    std::optional<BootTime> m_checkedAt;
    /** While this VM was a lender, most others may not have heard it at this time. */
    std::optional<BootTime> m_unheardAt;
    /** When the store first answered this incarnation, by the store's clock. */
    std::optional<Milliseconds> m_firstAnswer;
    bool m_storesTurns = false;
    int m_checks = 0;
    LendingWitness m_witness;
    LendingRights m_rights;
    LendingPromises m_promises;
    LendingRights::Send m_send;
    Loans m_loans;
    std::map<std::string, LossInquiry> m_inquiries;
    SteadyTime m_startedAt;
    bool m_writing = false;
    bool m_gaveUp = false;
    bool m_released = false;
};

} // namespace boragepath
