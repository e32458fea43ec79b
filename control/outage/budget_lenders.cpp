#include "control/outage/budget_lenders.h"

#include "core/hash.h"
#include "core/logging.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <utility>

namespace boragepath {

namespace {

constexpr const char *LenderTableName = "budget-lenders";
constexpr const char *LenderRowKey = "all";
/** Followed by the name of the VM that has released its partitions. */
constexpr const char *ReleaseKeyPrefix = "released ";
/** A lender goes on for this long without the store; longer than most outages. */
constexpr Milliseconds TenureTerm{30'000};
/** A program without a turn for this long has ended. */
constexpr Milliseconds ProgramIdleTime{60'000};
/** No program lasts longer. */
constexpr Milliseconds ProgramLifetime{600'000};
/** Clocks of VMs run at slightly different rates. */
constexpr Milliseconds ClockMargin{1'000};
/** After a lender was lost, the programs that it may have lent to have ended by then. */
constexpr Milliseconds LostTenureDelay = TenureTerm + ProgramLifetime + ClockMargin;
/** After a lender released a partition, the programs that its successor has not met have ended. */
constexpr Milliseconds ReleasedTenureDelay = ProgramIdleTime + ClockMargin;
/** After a lender was lost that has lent nothing: it reserves whole budgets until its term ends,
 * and the programs that its successor has not met by then have ended a while later. */
constexpr Milliseconds EndedTenureDelay = TenureTerm + ProgramIdleTime + ClockMargin;
/** A lender that can't be heard for a shorter time is likely to be cut off or paused. */
constexpr Milliseconds LostLenderTime{8'000};
/** VMs that start together know each other after this time. */
constexpr Milliseconds StartDelay{2'000};
constexpr Milliseconds CheckInterval{500};
/** Promises are collected with each second check. */
constexpr int ChecksPerCollection = 2;
/** A VM that checks less often was suspended meanwhile. */
constexpr Milliseconds LongestCheckInterval{1'500};
/** A lender that is silent for so long notices that it isn't heard, if it runs. */
constexpr Milliseconds UnheardLenderTime{1'000};
constexpr Milliseconds FeedWait{4'000};
/** All successors have read a release by then. */
constexpr Milliseconds ReleaseLifetime{120'000};
/** Some 20 B each; more than a VM remembers, and less than a row may hold. */
constexpr std::size_t MaxReleasedPrograms = 2'500;
/** Each takes up to three entries of a transaction, which has 100 at most. */
constexpr std::size_t MaxReplacedAtOnce = 30;
constexpr Milliseconds MinRetryDelay{300};
constexpr Milliseconds MaxRetryDelay{900};

RowName lenderRow()
{
    return {LenderTableName, "", LenderRowKey};
}

/** True if the rows may lack what the lender before has lent. */
bool isLost(PreviousTenure previous)
{
    return previous == PreviousTenure::Lost || previous == PreviousTenure::OneTurnLent;
}

RowName releaseRow(const std::string &lender)
{
    return {LenderTableName, "", ReleaseKeyPrefix + lender};
}

} // namespace

BudgetLenders::BudgetLenders(const Clock &clock, Timers &timers, RowStore &store,
                             const VmDirectory &vms, bool isFirstStart, LendingRights::Send send,
                             Loans loans, std::uint64_t seed)
    : m_clock(clock)
    , m_timers(timers)
    , m_store(store)
    , m_vms(vms)
    , m_self(incarnationName(vms.self()))
    , m_isFirstStart(isFirstStart)
    , m_random(seed)
    , m_witness(clock)
    , m_rights(clock, timers, store, vms, send, loans.onGranted, seed)
    , m_promises(clock, timers, store, vms, send, loans.areUnsettled)
    , m_send(std::move(send))
    , m_loans(std::move(loans))
    , m_startedAt(clock.now())
{ }

void BudgetLenders::start()
{
    read();
    m_timers.after(CheckInterval, [this] { checkLenders(); });
}

Milliseconds BudgetLenders::retryDelay()
{
    std::uniform_int_distribution<std::int64_t> delay(MinRetryDelay.count(), MaxRetryDelay.count());
    return Milliseconds(delay(m_random));
}

void BudgetLenders::read()
{
    const BootTime askedAt = m_clock.bootNow();
    const RowName name = lenderRow();
    m_store.read({name.table, name.partition, "", ""}, [this, askedAt](const ReadResult &result) {
        if (result.answer != StoreAnswer::Done) {
            m_timers.after(retryDelay(), [this] { read(); });
            return;
        }
        if (!m_firstAnswer.has_value()) {
            m_firstAnswer = result.storeTime;
        }
        const bool isRowGone =
            std::none_of(result.rows.begin(), result.rows.end(),
                         [](const StoreRow &row) { return row.name == lenderRow(); });
        if (isRowGone && m_rowExists) {
            m_tableVersion = result.version;
            m_rowExists = false;
            forgetTable();
        }
        apply(result.rows);
        m_confirmedAt = askedAt;
        m_hasRead = true;
        m_feedVersion = result.version;
        follow();
    });
}

void BudgetLenders::follow()
{
    const BootTime askedAt = m_clock.bootNow();
    m_store.feed({LenderTableName, m_feedVersion, FeedWait},
                 [this, askedAt](const ReadResult &result) {
                     if (result.answer == StoreAnswer::HistoryCompacted) {
                         read();
                         return;
                     }
                     if (result.answer != StoreAnswer::Done) {
                         m_timers.after(retryDelay(), [this] { follow(); });
                         return;
                     }
                     apply(result.rows);
                     m_confirmedAt = std::max(m_confirmedAt.value_or(askedAt), askedAt);
                     m_feedVersion = std::max(m_feedVersion, result.version);
                     follow();
                 });
}

void BudgetLenders::apply(const std::vector<StoreRow> &rows)
{
    // A release is written together with the table, which refers to it.
    for (const StoreRow &row : rows) {
        applyRelease(row);
    }
    for (const StoreRow &row : rows) {
        applyTable(row);
    }
}

void BudgetLenders::applyRelease(const StoreRow &row)
{
    if (row.name.table != LenderTableName || !absl::StartsWith(row.name.key, ReleaseKeyPrefix)) {
        return;
    }
    const std::string lender(absl::StripPrefix(row.name.key, ReleaseKeyPrefix));
    const std::optional<ReleasedPrograms> programs =
        row.removed ? std::nullopt : decodeReleasedPrograms(row.value);
    if (programs.has_value() && !m_releases.contains(lender)) {
        m_releases[lender] = {std::make_shared<const ReleasedPrograms>(*programs), m_clock.now()};
    }
}

BudgetLenders::OwnTenure BudgetLenders::beginTenure(const LenderTenure &entry) const
{
    OwnTenure tenure{entry.number, m_clock.bootNow(), entry.previous, nullptr};
    const auto release = m_releases.find(entry.releasedBy);
    if (entry.previous == PreviousTenure::Released && release != m_releases.end()) {
        tenure.programsBefore = release->second.programs;
    }
    return tenure;
}

void BudgetLenders::applyTable(const StoreRow &row)
{
    if (row.name != lenderRow() || row.version <= m_tableVersion) {
        return;
    }
    m_tableVersion = row.version;
    m_rowExists = !row.removed;
    const std::optional<LenderTable> table =
        row.removed ? std::nullopt : decodeLenderTable(row.value);
    if (table.has_value()) {
        setTable(*table);
    } else {
        forgetTable();
    }
}

void BudgetLenders::forgetTable()
{
    LogLine("lenders").add("outcome", "unreadable").error();
    // The table that replaces it counts all lenders as lost.
    std::int64_t number = 0;
    for (const LenderTenure &tenure : m_table) {
        number = std::max(number, tenure.number);
    }
    setTable(LenderTable(LenderPartitions, LenderTenure{"", PreviousTenure::Lost, "", number}));
}

void BudgetLenders::setTable(LenderTable table)
{
    noteLostLenders(table);
    m_table = std::move(table);
    std::map<std::size_t, OwnTenure> tenures;
    for (std::size_t partition = 0; partition < m_table.size(); ++partition) {
        const LenderTenure &entry = m_table[partition];
        if (entry.lender != m_self) {
            continue;
        }
        const auto known = m_ownTenures.find(partition);
        const bool goesOn = known != m_ownTenures.end() && known->second.number == entry.number;
        tenures[partition] = goesOn ? known->second : beginTenure(entry);
    }
    m_ownTenures = std::move(tenures);
    LogLine("lenders")
        .add("row_version", static_cast<std::int64_t>(m_tableVersion.value()))
        .add("partitions", static_cast<std::int64_t>(m_ownTenures.size()))
        .add("outcome", "read")
        .info();
}

void BudgetLenders::noteLostLenders(const LenderTable &next)
{
    for (std::size_t partition = 0; partition < next.size(); ++partition) {
        if (next[partition].previous != PreviousTenure::Lost) {
            m_lostLenders.erase(partition);
            continue;
        }
        const bool isKnown = partition < m_table.size();
        if (isKnown && m_table[partition].lender != next[partition].lender) {
            m_lostLenders[partition] = m_table[partition].lender;
        }
    }
}

void BudgetLenders::describeTenure(const ProgramId &program, LogLine &line) const
{
    const std::size_t partition = lenderPartition(program);
    line.add("partition", static_cast<std::int64_t>(partition));
    if (partition >= m_table.size()) {
        return;
    }
    const LenderTenure &tenure = m_table[partition];
    line.add("lender", tenure.lender).add("tenure", tenure.number);
    if (tenure.previous == PreviousTenure::Lost) {
        const auto lost = m_lostLenders.find(partition);
        // A VM that has started since doesn't know the name.
        line.add("lost_lender", lost == m_lostLenders.end() ? "unknown" : lost->second);
    }
}

const BudgetLenders::OwnTenure *BudgetLenders::validTenure(const ProgramId &program) const
{
    const bool isConfirmed =
        m_confirmedAt.has_value() && m_clock.bootNow() < *m_confirmedAt + TenureTerm;
    if (!isConfirmed || m_gaveUp) {
        return nullptr;
    }
    const auto found = m_ownTenures.find(lenderPartition(program));
    return found == m_ownTenures.end() ? nullptr : &found->second;
}

Duration BudgetLenders::delayAfter(PreviousTenure previous)
{
    switch (previous) {
    case PreviousTenure::None:
        break;
    case PreviousTenure::Released:
        return ReleasedTenureDelay;
    case PreviousTenure::Lost:
    case PreviousTenure::OneTurnLent:
        return LostTenureDelay;
    case PreviousTenure::NothingLent:
        return EndedTenureDelay;
    }
    return Duration(0);
}

BootTime BudgetLenders::exclusiveFrom(const OwnTenure &tenure)
{
    const bool mayGoOn = tenure.previous == PreviousTenure::NothingLent;
    return tenure.since + (mayGoOn ? TenureTerm + ClockMargin : Milliseconds(0));
}

bool BudgetLenders::isSettled(const OwnTenure &tenure) const
{
    return m_clock.bootNow() >= tenure.since + delayAfter(tenure.previous);
}

bool BudgetLenders::isComplete(const OwnTenure &tenure) const
{
    return !isLost(tenure.previous) || isSettled(tenure);
}

BudgetAuthority BudgetLenders::authorityOver(const ProgramId &program) const
{
    const OwnTenure *tenure = validTenure(program);
    if (tenure == nullptr) {
        return authorityBeside(m_table.empty() ? std::string()
                                               : m_table[lenderPartition(program)].lender);
    }
    if (isComplete(*tenure)) {
        return BudgetAuthority::Whole;
    }
    return tenure->previous == PreviousTenure::OneTurnLent ? BudgetAuthority::WholeOfStoredTurns
                                                           : BudgetAuthority::WholeOfStoredRows;
}

BudgetAuthority BudgetLenders::authorityBeside(const std::string &lender) const
{
    if (lender == m_self || m_vms.findLive(lender).has_value()) {
        return BudgetAuthority::Restricted;
    }
    return m_hearsMost && m_promisedSilent.contains(lender) ? BudgetAuthority::WholeOfStoredTurns
                                                            : BudgetAuthority::WholeOfStoredRows;
}

std::optional<Duration> BudgetLenders::oneTurnLimit() const
{
    if (!m_storesTurns) {
        return std::nullopt;
    }
    const Duration promised = m_promises.timeLeft();
    if (promised > Duration(0)) {
        return promised;
    }
    // VMs that don't hear this one may have reserved whole budgets in rows that it doesn't know.
    const BootTime now = m_clock.bootNow();
    const bool wasSuspended = !m_checkedAt.has_value() || now > *m_checkedAt + LongestCheckInterval;
    const bool wasUnheard = m_unheardAt.has_value() && now < *m_unheardAt + ReleasedTenureDelay;
    return wasSuspended || wasUnheard ? std::optional(Duration(0)) : std::nullopt;
}

void BudgetLenders::noteWhetherHeard(std::size_t silent, std::size_t lenders)
{
    const BootTime now = m_clock.bootNow();
    const bool wasSuspended = m_checkedAt.has_value() && now > *m_checkedAt + LongestCheckInterval;
    const bool hearsHalf = 2 * silent <= lenders;
    if (!m_ownTenures.empty() && (wasSuspended || !hearsHalf)) {
        m_unheardAt = now;
    }
    m_hearsMost = 2 * silent < lenders;
    m_checkedAt = now;
}

void BudgetLenders::checkSilentLenders()
{
    const SteadyTime now = m_clock.now();
    const std::set<std::string> lenders = lendersOfTable();
    std::erase_if(m_promisedSilent, [&](const std::string &lender) {
        return !lenders.contains(lender) || m_vms.findLive(lender).has_value();
    });
    bool isReadNeeded = false;
    for (const auto &[lender, since] : m_silentSince) {
        if (now < since + UnheardLenderTime || m_promisedSilent.contains(lender)) {
            continue;
        }
        // What was promised after the lender fell silent says nothing about the time before.
        const std::optional<SteadyTime> readAt = m_promises.readAt();
        if (!readAt.has_value() || *readAt < since) {
            isReadNeeded = true;
        } else if (m_promises.isPromisedAt(lender, since)) {
            m_promisedSilent.insert(lender);
        }
    }
    if (isReadNeeded && m_storesTurns) {
        m_promises.read();
    }
}

std::set<std::string> BudgetLenders::lendersOfTable() const
{
    std::set<std::string> lenders;
    for (const LenderTenure &tenure : m_table) {
        if (!tenure.lender.empty()) {
            lenders.insert(tenure.lender);
        }
    }
    return lenders;
}

bool BudgetLenders::mayLend(const ProgramId &program, const ProgramKnowledge &knowledge) const
{
    const OwnTenure *tenure = validTenure(program);
    if (tenure == nullptr || !isComplete(*tenure)) {
        return false;
    }
    if (knowledge.rowSeenAt.has_value() && *knowledge.rowSeenAt >= exclusiveFrom(*tenure)) {
        return true;
    }
    const bool mayBeForgotten = knowledge.lastForgottenUse.has_value()
        && m_clock.bootNow() < *knowledge.lastForgottenUse + ProgramIdleTime;
    const bool isNewSinceRelease = tenure->programsBefore != nullptr
        && !tenure->programsBefore->contains(fingerprintOf(program.value()));
    return (isSettled(*tenure) || isNewSinceRelease) && !mayBeForgotten;
}

std::optional<Endpoint> BudgetLenders::coordinatorFor(const ProgramId &program) const
{
    if (!m_table.empty()) {
        const std::string &lender = m_table[lenderPartition(program)].lender;
        if (lender == m_self && !m_gaveUp) {
            return std::nullopt;
        }
        const std::optional<Endpoint> endpoint = m_vms.findLive(lender);
        if (endpoint.has_value()) {
            return endpoint;
        }
    }
    return m_vms.coordinatorFor(program.value());
}

std::vector<std::string> BudgetLenders::availableVms()
{
    std::vector<std::string> vms = m_vms.liveIncarnations();
    const std::set<std::string> live(vms.begin(), vms.end());
    const SteadyTime now = m_clock.now();
    std::map<std::string, SteadyTime> silentSince;
    std::set<std::string> lenders;
    for (const LenderTenure &tenure : m_table) {
        if (tenure.lender.empty() || m_vms.isReplaced(tenure.lender)) {
            continue;
        }
        lenders.insert(tenure.lender);
        if (!live.contains(tenure.lender)) {
            const auto known = m_silentSince.find(tenure.lender);
            silentSince[tenure.lender] = known == m_silentSince.end() ? now : known->second;
        }
    }
    noteWhetherHeard(silentSince.size(), lenders.size());
    // A VM that hears few of the others is more likely to be cut off itself.
    const bool hearsHalf = 2 * silentSince.size() <= lenders.size();
    for (const auto &[lender, since] : silentSince) {
        if (!hearsHalf || now < since + LostLenderTime) {
            vms.push_back(lender);
        }
    }
    m_silentSince = std::move(silentSince);
    return vms;
}

LoanPermission BudgetLenders::askToLend(const ProgramId &program, const ProgramKnowledge &knowledge)
{
    if (!mayLend(program, knowledge)) {
        return LoanPermission::Denied;
    }
    if (m_rights.mayLend()) {
        return LoanPermission::Granted;
    }
    m_rights.request();
    return m_rights.isPending() ? LoanPermission::Pending : LoanPermission::Denied;
}

void BudgetLenders::receive(const Endpoint &from, const peers::LendingNote &note)
{
    using Kind = peers::LendingNoteKind;
    if (note.kind == Kind::ACKNOWLEDGEMENT) {
        m_rights.handleAcknowledgement(note);
        return;
    }
    if (note.kind == Kind::CLOSED) {
        handleTestimony(note);
        return;
    }
    if (note.kind == Kind::PROMISE_REQUEST || note.kind == Kind::PROMISE) {
        m_promises.receive(from, note);
        return;
    }
    if (note.kind == Kind::START_QUESTION || note.kind == Kind::START) {
        answerStart(from, note);
        return;
    }
    if (note.witness != m_self) {
        // Meant for an earlier incarnation, whose memory is gone.
        return;
    }
    peers::LendingNote answer = note;
    if (note.kind == Kind::CLEARED) {
        m_witness.noteCleared(note.lender, note.sequence);
        return;
    }
    if (note.kind == Kind::CLOSE) {
        answer.kind = Kind::CLOSED;
        answer.hasLent = m_witness.close(note.lender, note.revision);
        m_send(from, answer);
        return;
    }
    answer.kind = Kind::ACKNOWLEDGEMENT;
    if (m_witness.noteLending(note.lender, note.revision, note.sequence)) {
        m_send(from, answer);
    }
}

void BudgetLenders::checkLenders()
{
    m_timers.after(CheckInterval, [this] { checkLenders(); });
    if (!m_hasRead || m_gaveUp) {
        return;
    }
    const std::vector<std::string> available = availableVms();
    checkSilentLenders();
    const bool isDue = m_clock.now() >= m_startedAt + StartDelay;
    if (m_writing || !isDue) {
        return;
    }
    maintainOwnTenures();
    removeOldReleases();
    // One VM writes, so that the others' writes don't meet it.
    if (m_writing || m_vms.coordinatorFor(LenderTableName).has_value()) {
        m_inquiries.clear();
        return;
    }
    m_checks += 1;
    if (m_storesTurns && m_checks % ChecksPerCollection == 0) {
        m_promises.collect(lendersOfTable());
    }
    std::set<std::string> lost;
    for (const LenderTenure &tenure : m_table) {
        const bool isAvailable =
            std::find(available.begin(), available.end(), tenure.lender) != available.end();
        if (!tenure.lender.empty() && !isAvailable && lost.size() < MaxReplacedAtOnce) {
            lost.insert(tenure.lender);
        }
    }
    if (inquire(lost)) {
        replace(lost, available);
    }
}

void BudgetLenders::maintainOwnTenures()
{
    const bool areLoansSettled = !m_loans.areUnsettled();
    if (areLoansSettled) {
        m_rights.noteSettled();
    }
    if (m_ownTenures.empty()) {
        return;
    }
    // The witnesses of a new list would not know of loans that were made before it.
    if (areLoansSettled) {
        m_rights.maintain({lenderRow(), m_tableVersion});
    }
    TableChange change{m_table, {}, {}, {}};
    for (const auto &[partition, tenure] : m_ownTenures) {
        if (isLost(tenure.previous) && isSettled(tenure)) {
            change.table[partition].previous = PreviousTenure::Released;
        }
    }
    if (change.table != m_table) {
        write(std::move(change), [](bool) {});
    }
}

void BudgetLenders::removeOldReleases()
{
    const bool removesRows = !m_vms.coordinatorFor(LenderTableName).has_value();
    for (auto release = m_releases.begin(); release != m_releases.end();) {
        if (m_clock.now() < release->second.seenAt + ReleaseLifetime) {
            ++release;
            continue;
        }
        if (removesRows) {
            RowTransaction transaction;
            transaction.removals = {releaseRow(release->first)};
            m_store.transact(std::move(transaction), [](const TransactionResult &) {});
        }
        release = m_releases.erase(release);
    }
}

void BudgetLenders::write(TableChange change, std::function<void(bool)> done)
{
    m_writing = true;
    RowTransaction transaction;
    transaction.conditions = std::move(change.conditions);
    transaction.conditions.push_back({lenderRow(), m_rowExists ? m_tableVersion : RowRevision(0)});
    transaction.puts = std::move(change.puts);
    transaction.puts.push_back({lenderRow(), encodeLenderTable(change.table)});
    transaction.removals = std::move(change.removals);
    m_store.transact(std::move(transaction),
                     [this, done = std::move(done)](const TransactionResult &result) {
                         m_writing = false;
                         // The feed brings the newest table, with the releases that it refers to.
                         done(result.answer == StoreAnswer::Done);
                     });
}

BootTime BudgetLenders::oldestRecentUse() const
{
    return m_clock.bootNow() - ReleasedTenureDelay;
}

ReleasedPrograms BudgetLenders::programsToPassOn(const std::vector<ProgramId> &recentPrograms) const
{
    ReleasedPrograms programs;
    for (const ProgramId &program : recentPrograms) {
        programs.insert(fingerprintOf(program.value()));
    }
    for (const auto &[partition, tenure] : m_ownTenures) {
        if (tenure.programsBefore != nullptr && !isSettled(tenure)) {
            programs.insert(tenure.programsBefore->begin(), tenure.programsBefore->end());
        }
    }
    return programs;
}

void BudgetLenders::release(const std::optional<std::vector<ProgramId>> &recentPrograms)
{
    m_gaveUp = true;
    if (!m_hasRead || m_writing || m_released) {
        return;
    }
    LenderTable table = m_table;
    std::vector<std::string> successors = m_vms.liveIncarnations();
    std::erase(successors, m_self);
    releasePartitions(table, m_self, successors, [this](std::size_t partition) {
        const auto tenure = m_ownTenures.find(partition);
        return tenure != m_ownTenures.end() && isComplete(tenure->second)
            && m_clock.bootNow() >= exclusiveFrom(tenure->second);
    });
    if (table == m_table) {
        m_released = true;
        return;
    }
    // A partition whose lender before left no list could hold programs that nobody has met since.
    const bool knowsAll = recentPrograms.has_value()
        && std::all_of(m_ownTenures.begin(), m_ownTenures.end(), [this](const auto &item) {
                              return !isComplete(item.second) || isSettled(item.second)
                                  || item.second.programsBefore != nullptr;
                          });
    TableChange change{table, {}, {}, {}};
    if (knowsAll) {
        const ReleasedPrograms programs = programsToPassOn(*recentPrograms);
        if (programs.size() <= MaxReleasedPrograms) {
            change.puts.push_back({releaseRow(m_self), encodeReleasedPrograms(programs)});
        }
    }
    write(std::move(change), [this](bool done) { m_released = m_released || done; });
}

} // namespace boragepath
