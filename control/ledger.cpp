#include "control/ledger.h"

#include "control/records.h"

#include <memory>

namespace boragepath {

namespace {

/** If a draw follows the previous one sooner than this, the draw factor is doubled. */
constexpr Seconds FrequentDrawInterval{5};
/** The unspent part of a grant is returned after this long without a call. */
constexpr Seconds IdleGrantLimit{10};
constexpr std::int64_t MaxDrawFactor = 16;

bool isZero(Amount amount)
{
    return amount == Amount{};
}

} // namespace

Ledger::Ledger(VmId vm, const Clock &clock, CommitQueue &commits, TableReader &reader)
    : m_vm(std::move(vm))
    , m_clock(clock)
    , m_commits(commits)
    , m_reader(reader)
{ }

std::int64_t Ledger::periodOf(const CatalogueEntry &entry) const
{
    return budgetPeriodOf(entry, m_clock.wallNow());
}

GrantView Ledger::viewOf(const EntryName &entry, std::int64_t period) const
{
    const auto found = m_grants.find({entry, period});
    return found == m_grants.end() ? GrantView{} : found->second.view;
}

Ledger::Grant &Ledger::grantOf(const CatalogueEntry &entry)
{
    Grant &grant = m_grants[{entry.name, periodOf(entry)}];
    grant.limit = entry.budget;
    return grant;
}

void Ledger::reserve(const CatalogueEntry &entry, Amount amount, Done done)
{
    Grant &grant = grantOf(entry);
    grant.lastUse = m_clock.now();
    if (!fitsWithin(amount, entry.budget)) {
        done(ReserveOutcome::Exhausted);
        return;
    }
    grant.pending.push_back({amount, std::move(done)});
    serveReservations({entry.name, periodOf(entry)});
}

void Ledger::serveReservations(const GrantKey &key)
{
    Grant &grant = m_grants[key];
    while (!grant.pending.empty()) {
        const Amount need = grant.pending.front().amount;
        const Amount unused = grant.view.amount - grant.view.spent - grant.view.reserved;
        if (!fitsWithin(need, unused)) {
            break;
        }
        grant.view.reserved += need;
        const Done done = std::move(grant.pending.front().done);
        grant.pending.pop_front();
        done(ReserveOutcome::Reserved);
    }
    if (grant.requestInFlight) {
        return;
    }
    if (grant.returnRequested) {
        returnUnused(key);
        return;
    }
    if (grant.pending.empty()) {
        return;
    }
    if (!grant.ledgerKnown) {
        readLedger(key);
        return;
    }
    const SteadyTime now = m_clock.now();
    const bool isFrequent = now < grant.lastDraw + FrequentDrawInterval;
    grant.drawFactor = isFrequent ? std::min(MaxDrawFactor, grant.drawFactor * 2) : 1;
    const Amount need = grant.pending.front().amount;
    const Amount remaining = grant.limit - grant.ledger.granted;
    if (!fitsWithin(need, remaining)) {
        if (!grant.ledgerFresh) {
            readLedger(key);
            return;
        }
        grant.ledgerFresh = false;
        completeAll(grant, ReserveOutcome::Exhausted);
        return;
    }
    grant.ledgerFresh = false;
    drawGrant(key, smallerOf(remaining, scaledBy(need, grant.drawFactor)));
}

void Ledger::completeAll(Grant &grant, ReserveOutcome outcome)
{
    std::deque<PendingReservation> pending = std::move(grant.pending);
    grant.pending.clear();
    for (PendingReservation &item : pending) {
        item.done(outcome);
    }
}

void Ledger::readLedger(const GrantKey &key)
{
    m_grants[key].requestInFlight = true;
    const std::string row = keys::ledger(key.first, key.second);
    m_reader.read({row, {}}, [this, key, row](const RangeOutcome &outcome) {
        Grant &grant = m_grants[key];
        grant.requestInFlight = false;
        grant.ledgerKnown = true;
        grant.ledgerFresh = true;
        grant.ledger = {};
        grant.ledgerRow = {};
        for (const Row &found : outcome.rows) {
            if (found.key == row) {
                grant.ledger = decodeLedger(found.value).value_or(LedgerRecord{});
                grant.ledgerRow = found.revision;
            }
        }
        serveReservations(key);
    });
}

Write Ledger::grantWrite(const GrantKey &key, Amount amount) const
{
    const GrantView view = viewOf(key.first, key.second);
    return {keys::grant(m_vm, m_commits.fence(), key.first, key.second),
            encode(GrantRecord{key.first, key.second, amount, view.spent})};
}

void Ledger::drawGrant(const GrantKey &key, Amount want)
{
    m_grants[key].lastDraw = m_clock.now();
    commitChange(key, want);
}

void Ledger::returnUnused(const GrantKey &key)
{
    Grant &grant = m_grants[key];
    const Amount unused = grant.view.amount - grant.view.spent - grant.view.reserved;
    grant.returnRequested = false;
    if (isZero(unused)) {
        return;
    }
    if (!grant.ledgerKnown) {
        grant.returnRequested = true;
        readLedger(key);
        return;
    }
    // Subtracted before the commit, so that no call can reserve the amount while it is returned.
    grant.view.amount -= unused;
    commitChange(key, Amount{} - unused);
}

void Ledger::commitChange(const GrantKey &key, Amount delta)
{
    Grant &grant = m_grants[key];
    grant.requestInFlight = true;
    LedgerRecord ledger = grant.ledger;
    ledger.granted += delta;
    const bool isDraw = delta.tokens > 0 || delta.micros > 0;
    const Amount added = isDraw ? delta : Amount{};
    CommitItem item;
    item.conditions.push_back({keys::ledger(key.first, key.second), grant.ledgerRow});
    item.writes.push_back({keys::ledger(key.first, key.second), encode(ledger)});
    item.writes.push_back(grantWrite(key, grant.view.amount + added));
    item.refresh = [this, key, added](std::vector<Write> &writes) {
        writes.back() = grantWrite(key, viewOf(key.first, key.second).amount + added);
    };
    item.done = [this, key, delta](const CommitResult &result) {
        onChangeResult(key, delta, result);
    };
    m_commits.enqueue(std::move(item));
}

void Ledger::onChangeResult(const GrantKey &key, Amount delta, const CommitResult &result)
{
    Grant &grant = m_grants[key];
    grant.requestInFlight = false;
    const bool isDraw = delta.tokens > 0 || delta.micros > 0;
    if (result.kind == CommitResult::Kind::Fenced) {
        completeAll(grant, ReserveOutcome::OwnershipLost);
        return;
    }
    if (result.kind == CommitResult::Kind::Committed) {
        grant.ledger.granted += delta;
        grant.ledgerRow = result.revision;
        if (isDraw) {
            grant.view.amount += delta;
        }
        serveReservations(key);
        return;
    }
    if (!isDraw) {
        grant.view.amount -= delta;
        grant.returnRequested = true;
    }
    const auto row = result.current.find(keys::ledger(key.first, key.second));
    grant.ledger = {};
    grant.ledgerRow = {};
    if (row != result.current.end()) {
        grant.ledger = decodeLedger(row->second.value).value_or(LedgerRecord{});
        grant.ledgerRow = row->second.revision;
    }
    serveReservations(key);
}

void Ledger::cancel(const EntryName &entry, std::int64_t period, Amount reserved)
{
    const auto found = m_grants.find({entry, period});
    if (found == m_grants.end()) {
        return;
    }
    found->second.view.reserved -= reserved;
    serveReservations(found->first);
}

void Ledger::settle(const EntryName &entry, std::int64_t period, Amount reserved, Amount spent,
                    CommitItem &item)
{
    if (isZero(reserved) && isZero(spent)) {
        return;
    }
    const GrantKey key{entry, period};
    Grant &grant = m_grants[key];
    grant.view.reserved -= reserved;
    grant.view.spent += spent;
    const std::size_t index = item.writes.size();
    item.writes.push_back(grantWrite(key, grant.view.amount));
    item.refresh = [this, key, index](std::vector<Write> &writes) {
        writes[index] = grantWrite(key, viewOf(key.first, key.second).amount);
    };
    serveReservations(key);
}

void Ledger::onEntryChanged(const CatalogueEntry &entry)
{
    const GrantKey key{entry.name, periodOf(entry)};
    const auto found = m_grants.find(key);
    if (found == m_grants.end()) {
        return;
    }
    Grant &grant = found->second;
    const bool lowered = !fitsWithin(grant.limit, entry.budget);
    grant.limit = entry.budget;
    if (lowered) {
        grant.returnRequested = true;
        serveReservations(key);
    }
}

void Ledger::returnUnspent()
{
    for (auto &[key, grant] : m_grants) {
        grant.returnRequested = true;
        serveReservations(key);
    }
}

void Ledger::tick()
{
    const SteadyTime now = m_clock.now();
    for (auto &[key, grant] : m_grants) {
        const Amount unused = grant.view.amount - grant.view.spent - grant.view.reserved;
        const bool idle = now >= grant.lastUse + IdleGrantLimit && !isZero(unused);
        if (idle && !grant.requestInFlight && grant.pending.empty()) {
            grant.lastUse = now;
            grant.returnRequested = true;
            serveReservations(key);
        }
    }
}

void Ledger::reset()
{
    for (auto &[key, grant] : m_grants) {
        completeAll(grant, ReserveOutcome::OwnershipLost);
    }
    m_grants.clear();
}

namespace {

/** Closes the grants of an incarnation one by one until no grant row is left. */
class GrantCloser : public std::enable_shared_from_this<GrantCloser>
{
public:
    GrantCloser(VmId vm, FenceNumber fence, CommitQueue &commits, TableReader &reader,
                std::function<void()> done)
        : m_vm(std::move(vm))
        , m_fence(fence)
        , m_commits(commits)
        , m_reader(reader)
        , m_done(std::move(done))
    { }

    void closeNext()
    {
        auto self = shared_from_this();
        m_reader.read({keys::grantPrefix(m_vm, m_fence), {}}, [self](const RangeOutcome &outcome) {
            if (outcome.rows.empty()) {
                self->m_done();
                return;
            }
            self->closeGrant(outcome.rows.front());
        });
    }

private:
    void closeGrant(const Row &row)
    {
        const std::optional<GrantRecord> grant = decodeGrant(row.value);
        if (!grant.has_value()) {
            return;
        }
        auto self = shared_from_this();
        const std::string ledgerKey = keys::ledger(grant->entry, grant->period);
        m_reader.read({ledgerKey, {}}, [self, row, grant, ledgerKey](const RangeOutcome &outcome) {
            self->commitClose(row, *grant, ledgerKey, outcome);
        });
    }

    void commitClose(const Row &row, const GrantRecord &grant, const std::string &ledgerKey,
                     const RangeOutcome &outcome)
    {
        LedgerRecord ledger;
        RowRevision ledgerRow;
        for (const Row &found : outcome.rows) {
            if (found.key == ledgerKey) {
                ledger = decodeLedger(found.value).value_or(LedgerRecord{});
                ledgerRow = found.revision;
            }
        }
        ledger.closedSpent += grant.spent;
        ledger.unaccounted += grant.amount - grant.spent;
        CommitItem item;
        item.conditions = {{row.key, row.revision}, {ledgerKey, ledgerRow}};
        item.writes = {{row.key, std::nullopt}, {ledgerKey, encode(ledger)}};
        auto self = shared_from_this();
        item.done = [self](const CommitResult &result) {
            if (result.kind != CommitResult::Kind::Fenced) {
                self->closeNext();
            }
        };
        m_commits.enqueue(std::move(item));
    }

    VmId m_vm;
    FenceNumber m_fence;
    CommitQueue &m_commits;
    TableReader &m_reader;
    std::function<void()> m_done;
};

} // namespace

void closeGrants(const VmId &vm, FenceNumber fence, CommitQueue &commits, TableReader &reader,
                 std::function<void()> done)
{
    std::make_shared<GrantCloser>(vm, fence, commits, reader, std::move(done))->closeNext();
}

} // namespace boragepath
