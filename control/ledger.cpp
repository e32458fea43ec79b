#include "control/ledger.h"

#include "control/records.h"

#include <memory>

namespace boragepath {

namespace {

/** A draw that follows the last one sooner than this doubles the next draw. */
constexpr Seconds BusyDrawInterval{5};
/** A grant without calls for this long is given back. */
constexpr Seconds IdleGrantLimit{10};
constexpr std::int64_t MostDrawFactor = 16;

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
    grant.waiting.push_back({amount, std::move(done)});
    pump({entry.name, periodOf(entry)});
}

void Ledger::pump(const Key &key)
{
    Grant &grant = m_grants[key];
    while (!grant.waiting.empty()) {
        const Amount need = grant.waiting.front().amount;
        const Amount free = grant.view.amount - grant.view.spent - grant.view.reserved;
        if (!fitsWithin(need, free)) {
            break;
        }
        grant.view.reserved += need;
        const Done done = std::move(grant.waiting.front().done);
        grant.waiting.pop_front();
        done(ReserveOutcome::Reserved);
    }
    if (grant.busy) {
        return;
    }
    if (grant.recall) {
        giveBack(key);
        return;
    }
    if (grant.waiting.empty()) {
        return;
    }
    if (!grant.ledgerKnown) {
        readLedger(key);
        return;
    }
    const SteadyTime now = m_clock.now();
    const bool soon = now < grant.lastDraw + BusyDrawInterval;
    grant.drawFactor = soon ? std::min(MostDrawFactor, grant.drawFactor * 2) : 1;
    const Amount need = grant.waiting.front().amount;
    const Amount room = grant.limit - grant.ledger.granted;
    if (!fitsWithin(need, room)) {
        if (!grant.ledgerFresh) {
            readLedger(key);
            return;
        }
        grant.ledgerFresh = false;
        endAll(grant, ReserveOutcome::Exhausted);
        return;
    }
    grant.ledgerFresh = false;
    draw(key, smallerOf(room, scaledBy(need, grant.drawFactor)));
}

void Ledger::endAll(Grant &grant, ReserveOutcome outcome)
{
    std::deque<Waiting> waiting = std::move(grant.waiting);
    grant.waiting.clear();
    for (Waiting &item : waiting) {
        item.done(outcome);
    }
}

void Ledger::readLedger(const Key &key)
{
    m_grants[key].busy = true;
    const std::string row = keys::ledger(key.first, key.second);
    m_reader.read({row, {}}, [this, key, row](const RangeOutcome &outcome) {
        Grant &grant = m_grants[key];
        grant.busy = false;
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
        pump(key);
    });
}

Write Ledger::grantWrite(const Key &key, Amount amount) const
{
    const GrantView view = viewOf(key.first, key.second);
    return {keys::grant(m_vm, m_commits.fence(), key.first, key.second),
            encode(GrantRecord{key.first, key.second, amount, view.spent})};
}

void Ledger::draw(const Key &key, Amount want)
{
    m_grants[key].lastDraw = m_clock.now();
    change(key, want);
}

void Ledger::giveBack(const Key &key)
{
    Grant &grant = m_grants[key];
    const Amount free = grant.view.amount - grant.view.spent - grant.view.reserved;
    grant.recall = false;
    if (isZero(free)) {
        return;
    }
    if (!grant.ledgerKnown) {
        grant.recall = true;
        readLedger(key);
        return;
    }
    // Taken out of use before the commit: it may not be spent in the meantime.
    grant.view.amount -= free;
    change(key, Amount{} - free);
}

void Ledger::change(const Key &key, Amount delta)
{
    Grant &grant = m_grants[key];
    grant.busy = true;
    LedgerRecord ledger = grant.ledger;
    ledger.granted += delta;
    const bool draws = delta.tokens > 0 || delta.micros > 0;
    const Amount added = draws ? delta : Amount{};
    CommitItem item;
    item.conditions.push_back({keys::ledger(key.first, key.second), grant.ledgerRow});
    item.writes.push_back({keys::ledger(key.first, key.second), encode(ledger)});
    item.writes.push_back(grantWrite(key, grant.view.amount + added));
    item.refresh = [this, key, added](std::vector<Write> &writes) {
        writes.back() = grantWrite(key, viewOf(key.first, key.second).amount + added);
    };
    item.done = [this, key, delta](const CommitResult &result) { afterChange(key, delta, result); };
    m_commits.enqueue(std::move(item));
}

void Ledger::afterChange(const Key &key, Amount delta, const CommitResult &result)
{
    Grant &grant = m_grants[key];
    grant.busy = false;
    const bool draws = delta.tokens > 0 || delta.micros > 0;
    if (result.kind == CommitResult::Kind::Fenced) {
        endAll(grant, ReserveOutcome::Lost);
        return;
    }
    if (result.kind == CommitResult::Kind::Committed) {
        grant.ledger.granted += delta;
        grant.ledgerRow = result.revision;
        if (draws) {
            grant.view.amount += delta;
        }
        pump(key);
        return;
    }
    if (!draws) {
        grant.view.amount -= delta;
        grant.recall = true;
    }
    const auto row = result.current.find(keys::ledger(key.first, key.second));
    grant.ledger = {};
    grant.ledgerRow = {};
    if (row != result.current.end()) {
        grant.ledger = decodeLedger(row->second.value).value_or(LedgerRecord{});
        grant.ledgerRow = row->second.revision;
    }
    pump(key);
}

void Ledger::cancel(const EntryName &entry, std::int64_t period, Amount reserved)
{
    const auto found = m_grants.find({entry, period});
    if (found == m_grants.end()) {
        return;
    }
    found->second.view.reserved -= reserved;
    pump(found->first);
}

void Ledger::settle(const EntryName &entry, std::int64_t period, Amount reserved, Amount spent,
                    CommitItem &item)
{
    if (isZero(reserved) && isZero(spent)) {
        return;
    }
    const Key key{entry, period};
    Grant &grant = m_grants[key];
    grant.view.reserved -= reserved;
    grant.view.spent += spent;
    const std::size_t index = item.writes.size();
    item.writes.push_back(grantWrite(key, grant.view.amount));
    item.refresh = [this, key, index](std::vector<Write> &writes) {
        writes[index] = grantWrite(key, viewOf(key.first, key.second).amount);
    };
    pump(key);
}

void Ledger::onEntryChanged(const CatalogueEntry &entry)
{
    const Key key{entry.name, periodOf(entry)};
    const auto found = m_grants.find(key);
    if (found == m_grants.end()) {
        return;
    }
    Grant &grant = found->second;
    const bool lowered = !fitsWithin(grant.limit, entry.budget);
    grant.limit = entry.budget;
    if (lowered) {
        grant.recall = true;
        pump(key);
    }
}

void Ledger::returnUnspent()
{
    for (auto &[key, grant] : m_grants) {
        grant.recall = true;
        pump(key);
    }
}

void Ledger::tick()
{
    const SteadyTime now = m_clock.now();
    for (auto &[key, grant] : m_grants) {
        const Amount free = grant.view.amount - grant.view.spent - grant.view.reserved;
        const bool idle = now >= grant.lastUse + IdleGrantLimit && !isZero(free);
        if (idle && !grant.busy && grant.waiting.empty()) {
            grant.lastUse = now;
            grant.recall = true;
            pump(key);
        }
    }
}

void Ledger::reset()
{
    for (auto &[key, grant] : m_grants) {
        endAll(grant, ReserveOutcome::Lost);
    }
    m_grants.clear();
}

namespace {

/** One pass of closing grants; it repeats itself until no grant row is left. */
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

    void run()
    {
        auto self = shared_from_this();
        m_reader.read({keys::grantPrefix(m_vm, m_fence), {}}, [self](const RangeOutcome &outcome) {
            if (outcome.rows.empty()) {
                self->m_done();
                return;
            }
            self->closeOne(outcome.rows.front());
        });
    }

private:
    void closeOne(const Row &row)
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
                self->run();
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
    std::make_shared<GrantCloser>(vm, fence, commits, reader, std::move(done))->run();
}

} // namespace boragepath
