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
                             const VmDirectory &vms, bool isFirstStart, std::uint64_t seed)
    : m_clock(clock)
    , m_timers(timers)
    , m_store(store)
    , m_vms(vms)
    , m_self(incarnationName(vms.self()))
    , m_isFirstStart(isFirstStart)
    , m_random(seed)
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
    setTable(
        LenderTable(LenderPartitions, LenderTenure{"unknown", PreviousTenure::Lost, "", number}));
}

void BudgetLenders::setTable(LenderTable table)
{
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
    }
    return Duration(0);
}

bool BudgetLenders::isSettled(const OwnTenure &tenure) const
{
    return m_clock.bootNow() >= tenure.since + delayAfter(tenure.previous);
}

bool BudgetLenders::isComplete(const OwnTenure &tenure) const
{
    return tenure.previous != PreviousTenure::Lost || isSettled(tenure);
}

bool BudgetLenders::hasFullAuthority(const ProgramId &program) const
{
    const OwnTenure *tenure = validTenure(program);
    return tenure != nullptr && isComplete(*tenure);
}

bool BudgetLenders::mayLend(const ProgramId &program, const ProgramKnowledge &knowledge) const
{
    const OwnTenure *tenure = validTenure(program);
    if (tenure == nullptr || !isComplete(*tenure)) {
        return false;
    }
    if (knowledge.rowSeenAt.has_value() && *knowledge.rowSeenAt >= tenure->since) {
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
    const SteadyTime now = m_clock.now();
    std::map<std::string, SteadyTime> silentSince;
    for (const LenderTenure &tenure : m_table) {
        const bool isLive = std::find(vms.begin(), vms.end(), tenure.lender) != vms.end();
        if (tenure.lender.empty() || isLive || silentSince.contains(tenure.lender)) {
            continue;
        }
        const auto known = m_silentSince.find(tenure.lender);
        const SteadyTime since = known == m_silentSince.end() ? now : known->second;
        silentSince[tenure.lender] = since;
        if (now < since + LostLenderTime && !m_vms.isReplaced(tenure.lender)) {
            vms.push_back(tenure.lender);
        }
    }
    m_silentSince = std::move(silentSince);
    return vms;
}

void BudgetLenders::checkLenders()
{
    m_timers.after(CheckInterval, [this] { checkLenders(); });
    const bool isDue = m_clock.now() >= m_startedAt + StartDelay;
    if (!m_hasRead || m_writing || m_gaveUp || !isDue) {
        return;
    }
    LenderTable table = m_table;
    if (table.empty()) {
        const PreviousTenure before = m_isFirstStart ? PreviousTenure::None : PreviousTenure::Lost;
        table = LenderTable(LenderPartitions, LenderTenure{"", before, "", 0});
    }
    replaceLostLenders(table, availableVms());
    removeOldReleases();
    // One VM writes, so that the others' writes don't meet it.
    if (table == m_table || m_vms.coordinatorFor(LenderTableName).has_value()) {
        return;
    }
    write(table, {}, [](bool) {});
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

void BudgetLenders::write(const LenderTable &table, std::vector<RowPut> others,
                          std::function<void(bool)> done)
{
    m_writing = true;
    RowTransaction transaction;
    transaction.conditions = {{lenderRow(), m_rowExists ? m_tableVersion : RowRevision(0)}};
    transaction.puts = std::move(others);
    transaction.puts.push_back({lenderRow(), encodeLenderTable(table)});
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
        return tenure != m_ownTenures.end() && isComplete(tenure->second);
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
    std::vector<RowPut> puts;
    if (knowsAll) {
        const ReleasedPrograms programs = programsToPassOn(*recentPrograms);
        if (programs.size() <= MaxReleasedPrograms) {
            puts.push_back({releaseRow(m_self), encodeReleasedPrograms(programs)});
        }
    }
    write(table, std::move(puts), [this](bool done) { m_released = m_released || done; });
}

} // namespace boragepath
