#include "control/joiner.h"

#include "control/records.h"

namespace boragepath {

namespace {

constexpr Milliseconds RetryInterval{200};

std::optional<Row> rowOf(const RangeOutcome &outcome, const std::string &key)
{
    for (const Row &row : outcome.rows) {
        if (row.key == key) {
            return row;
        }
    }
    return std::nullopt;
}

} // namespace

Joiner::Joiner(const Settings &settings, const Clock &clock, Effects &effects, TableReader &reader,
               std::uint64_t seed, std::function<void(const Incarnation &)> joined)
    : m_settings(settings)
    , m_clock(clock)
    , m_effects(effects)
    , m_reader(reader)
    , m_random(seed)
    , m_joined(std::move(joined))
{ }

void Joiner::start()
{
    if (m_step == Step::Idle) {
        m_candidate = {};
        read();
    }
}

void Joiner::tick()
{
    if (m_step == Step::Waiting && m_clock.now() >= m_nextTry) {
        read();
    }
}

void Joiner::retry()
{
    m_step = Step::Waiting;
    m_nextTry = m_clock.now() + RetryInterval;
}

void Joiner::read()
{
    m_step = Step::Reading;
    m_reader.readOnce({keys::vm(m_settings.vm), {}}, [this](const RangeOutcome &own) {
        m_reader.readOnce({keys::fenceCounter(), {}},
                          [this, own](const RangeOutcome &counter) { onRows(own, counter); });
    });
}

void Joiner::onRows(const RangeOutcome &own, const RangeOutcome &counter)
{
    if (!own.answered || !counter.answered) {
        retry();
        return;
    }
    const std::optional<Row> ownRow = rowOf(own, keys::vm(m_settings.vm));
    const std::optional<VmRecord> record =
        ownRow.has_value() ? decodeVm(ownRow->value) : std::nullopt;
    const bool committedBefore = record.has_value() && m_candidate.attempt != 0
        && record->fence == m_candidate.fence && record->attempt == m_candidate.attempt
        && !record->fenced;
    if (committedBefore) {
        m_candidate.ownRow = ownRow->revision;
        m_step = Step::Idle;
        m_joined(m_candidate);
        return;
    }
    write(ownRow, rowOf(counter, keys::fenceCounter()));
}

void Joiner::write(const std::optional<Row> &own, const std::optional<Row> &counter)
{
    m_step = Step::Writing;
    const std::uint64_t last = counter.has_value() ? decodeNumber(counter->value).value_or(0) : 0;
    m_candidate.fence = FenceNumber(last + 1);
    // A random start tells two processes apart that use the same VM id.
    m_candidate.attempt = (m_random() >> 3U) | 1U;
    m_candidate.joinSentAt = m_clock.now();
    MemberRecord &member = m_candidate.member;
    member.vm = m_settings.vm;
    member.fence = m_candidate.fence;
    member.state = MemberState::Live;
    member.zone = m_settings.zone;
    member.callers = m_settings.callers;
    member.peers = m_settings.peers;
    Transaction transaction;
    transaction.conditions.push_back(
        {keys::vm(m_settings.vm), own.has_value() ? own->revision : RowRevision()});
    transaction.conditions.push_back(
        {keys::fenceCounter(), counter.has_value() ? counter->revision : RowRevision()});
    transaction.writes.push_back({keys::fenceCounter(), encodeNumber(last + 1)});
    transaction.writes.push_back(
        {keys::vm(m_settings.vm), encode(VmRecord{m_candidate.fence, m_candidate.attempt, false})});
    transaction.writes.push_back({keys::member(m_settings.vm), encode(member)});
    const std::optional<VmRecord> before = own.has_value() ? decodeVm(own->value) : std::nullopt;
    if (before.has_value()) {
        transaction.writes.push_back({keys::grantsToClose(m_settings.vm, before->fence), "1"});
    }
    m_transactionId += 1;
    m_effects.transact(m_transactionId, transaction);
}

bool Joiner::onTransaction(std::uint64_t id, const TransactionOutcome &outcome)
{
    if (id < FirstJoinTransactionId) {
        return false;
    }
    if (id != m_transactionId || m_step != Step::Writing) {
        return true;
    }
    if (outcome.kind != TransactionOutcome::Kind::Committed) {
        retry();
        return true;
    }
    m_step = Step::Idle;
    m_candidate.ownRow = outcome.revision;
    m_joined(m_candidate);
    return true;
}

} // namespace boragepath
