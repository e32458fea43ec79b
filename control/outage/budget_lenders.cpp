#include "control/outage/budget_lenders.h"

#include "core/hash.h"
#include "core/logging.h"

#include <absl/strings/match.h>
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
    return tenure.previous != PreviousTenure::Lost || isSettled(tenure);
}

BudgetAuthority BudgetLenders::authorityOver(const ProgramId &program) const
{
    const OwnTenure *tenure = validTenure(program);
    if (tenure != nullptr) {
        return isComplete(*tenure) ? BudgetAuthority::Whole : BudgetAuthority::WholeOfStoredTurns;
    }
    return hasLiveLender(program) ? BudgetAuthority::Restricted
                                  : BudgetAuthority::WholeOfStoredTurns;
}

bool BudgetLenders::hasLiveLender(const ProgramId &program) const
{
    if (m_table.empty()) {
        return false;
    }
    const std::string &lender = m_table[lenderPartition(program)].lender;
    return lender == m_self || m_vms.findLive(lender).has_value();
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
    const bool isDue = m_clock.now() >= m_startedAt + StartDelay;
    if (!m_hasRead || m_writing || m_gaveUp || !isDue) {
        return;
    }
    maintainOwnTenures();
    const std::vector<std::string> available = availableVms();
    removeOldReleases();
    // One VM writes, so that the others' writes don't meet it.
    if (m_writing || m_vms.coordinatorFor(LenderTableName).has_value()) {
        m_inquiries.clear();
        return;
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
        if (tenure.previous == PreviousTenure::Lost && isSettled(tenure)) {
            change.table[partition].previous = PreviousTenure::Released;
        }
    }
    if (change.table != m_table) {
        write(std::move(change), [](bool) {});
    }
}

bool BudgetLenders::inquire(const std::set<std::string> &lost)
{
    std::erase_if(m_inquiries, [&](const auto &item) { return !lost.contains(item.first); });
    bool allDone = true;
    for (const std::string &lender : lost) {
        const auto found = m_inquiries.find(lender);
        if (found == m_inquiries.end()) {
            startInquiry(lender);
            allDone = false;
            continue;
        }
        if (resultOf(found->second, m_clock.now()) == InquiryResult::Pending) {
            askWitnesses(lender, found->second);
            allDone = false;
        }
    }
    return allDone;
}

void BudgetLenders::startInquiry(const std::string &lender)
{
    m_inquiries[lender].startedAt = m_clock.now();
    const RowName name = witnessRow(lender);
    m_store.read({name.table, name.partition, name.key, name.key + " "},
                 [this, lender](const ReadResult &result) {
                     const auto found = m_inquiries.find(lender);
                     if (found == m_inquiries.end()) {
                         return;
                     }
                     if (result.answer != StoreAnswer::Done) {
                         // Without the store no lender is replaced anyway.
                         m_inquiries.erase(found);
                         return;
                     }
                     LossInquiry &inquiry = found->second;
                     inquiry.list = WitnessList();
                     if (!result.rows.empty()) {
                         inquiry.rowVersion = result.rows.front().version;
                         inquiry.list =
                             decodeWitnessList(result.rows.front().value).value_or(WitnessList());
                     }
                     askWitnesses(lender, inquiry);
                 });
}

void BudgetLenders::askWitnesses(const std::string &lender, const LossInquiry &inquiry)
{
    if (!inquiry.list.has_value()) {
        return;
    }
    for (const std::string &witness : inquiry.list->witnesses) {
        peers::LendingNote note;
        note.kind = peers::LendingNoteKind::CLOSE;
        note.lender = lender;
        note.witness = witness;
        note.revision = inquiry.list->revision;
        if (witness == m_self) {
            note.hasLent = m_witness.close(lender, note.revision);
            handleTestimony(note);
        } else if (const std::optional<Endpoint> endpoint = m_vms.findLive(witness)) {
            m_send(*endpoint, note);
        }
    }
}

void BudgetLenders::handleTestimony(const peers::LendingNote &note)
{
    const auto found = m_inquiries.find(note.lender);
    if (found != m_inquiries.end()) {
        addTestimony(found->second, note);
    }
}

void BudgetLenders::replace(const std::set<std::string> &lost,
                            const std::vector<std::string> &available)
{
    TableChange change{m_table, {}, {}, {}};
    if (change.table.empty()) {
        const PreviousTenure before = m_isFirstStart ? PreviousTenure::None : PreviousTenure::Lost;
        change.table = LenderTable(LenderPartitions, LenderTenure{"", before, "", 0});
    }
    LenderExceptions exceptions;
    for (const std::string &lender : lost) {
        const LossInquiry &inquiry = m_inquiries.at(lender);
        const bool nothingLent = resultOf(inquiry, m_clock.now()) == InquiryResult::NothingLent;
        if (nothingLent) {
            exceptions.withoutLoans.insert(lender);
            change.conditions.push_back({witnessRow(lender), inquiry.rowVersion});
        }
        if (inquiry.rowVersion != RowRevision(0)) {
            change.removals.push_back(witnessRow(lender));
        }
        LogLine("lenders")
            .add("lender", lender)
            .add("witnesses", static_cast<std::int64_t>(inquiry.withoutLoans.size()))
            .add("testimonies", testimoniesOf(inquiry, m_vms))
            .add("replaced", m_vms.isReplaced(lender) ? "restarted" : "silent")
            .add("outcome", nothingLent ? "lost-nothing-lent" : "lost")
            .warning();
    }
    // Lost lenders beyond MaxReplacedAtOnce are replaced by a change of their own.
    for (const LenderTenure &tenure : m_table) {
        if (!tenure.lender.empty() && !lost.contains(tenure.lender)) {
            exceptions.kept.insert(tenure.lender);
        }
    }
    replaceLostLenders(change.table, available, exceptions);
    if (change.table == m_table) {
        return;
    }
    write(std::move(change), [this](bool) { m_inquiries.clear(); });
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
