#include "control/outage/lending_rights.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace boragepath {

namespace {

/** Notices that are not acknowledged are sent again. */
constexpr Milliseconds NoticeInterval{40};
/** Two round trips between zones, or one after a lost datagram. */
constexpr Milliseconds PendingTime{90};
/** Notices are sent again for this long after the last request. */
constexpr Milliseconds NoticePeriod{1'000};
/** Messages that nobody answers are sent this often. */
constexpr int Repetitions = 2;
/** Lenders that start together write their lists over this time. */
constexpr Milliseconds WriteSpread{4'000};
/** Shortest time between two changes of a list. */
constexpr Milliseconds WriteInterval{5'000};
/** The same after a write that met another change. */
constexpr Milliseconds ConflictDelay{500};
constexpr Milliseconds ConflictSpread{1'000};

} // namespace

RowName witnessRow(const std::string &lender)
{
    return {WitnessTable, "", lender};
}

LendingRights::LendingRights(const Clock &clock, Timers &timers, RowStore &store,
                             const VmDirectory &vms, Send send, std::function<void()> onGranted,
                             std::uint64_t seed)
    : m_clock(clock)
    , m_timers(timers)
    , m_store(store)
    , m_vms(vms)
    , m_send(std::move(send))
    , m_onGranted(std::move(onGranted))
    , m_random(seed)
    , m_self(incarnationName(vms.self()))
{
    std::uniform_int_distribution<std::int64_t> delay(0, WriteSpread.count());
    m_nextWriteAt = clock.now() + Milliseconds(delay(m_random));
}

bool LendingRights::lacksAcknowledgements(const std::optional<WitnessList> &list) const
{
    if (!list.has_value()) {
        return false;
    }
    // A witness that has restarted may have said before that nothing was lent, so that it counts as
    // one that doesn't know.
    const auto knowing = std::count_if(
        list->witnesses.begin(), list->witnesses.end(), [this, &list](const std::string &witness) {
            return m_acknowledged.contains({list->revision, witness});
        });
    return static_cast<std::size_t>(knowing) < acknowledgementsNeeded(*list);
}

bool LendingRights::mayLend() const
{
    const bool hasList = m_list.has_value() || m_unconfirmedList.has_value();
    return !hasList
        || (m_isLending && !lacksAcknowledgements(m_list)
            && !lacksAcknowledgements(m_unconfirmedList));
}

void LendingRights::request()
{
    if (!m_isLending) {
        m_isLending = true;
        m_sequence += 1;
        m_acknowledged.clear();
        m_requestedAt = m_clock.now();
    }
    if (!m_noticesScheduled) {
        sendNotices();
    }
}

bool LendingRights::isPending() const
{
    return m_isLending && !mayLend() && m_clock.now() < m_requestedAt + PendingTime;
}

void LendingRights::sendNotices()
{
    m_noticesScheduled = m_isLending && !mayLend() && m_clock.now() < m_requestedAt + NoticePeriod;
    if (!m_noticesScheduled) {
        return;
    }
    sendToWitnesses(peers::LendingNoteKind::NOTICE);
    m_timers.after(NoticeInterval, [this] { sendNotices(); });
}

void LendingRights::sendToWitnesses(peers::LendingNoteKind::type kind)
{
    for (const std::optional<WitnessList> &list : {m_list, m_unconfirmedList}) {
        if (!list.has_value()) {
            continue;
        }
        for (const std::string &witness : list->witnesses) {
            const std::optional<Endpoint> endpoint = m_vms.findLive(witness);
            if (!endpoint.has_value()) {
                continue;
            }
            peers::LendingNote note;
            note.kind = kind;
            note.lender = m_self;
            note.witness = witness;
            note.revision = list->revision;
            note.sequence = m_sequence;
            m_send(*endpoint, note);
        }
    }
}

void LendingRights::handleAcknowledgement(const peers::LendingNote &note)
{
    if (note.lender != m_self || note.sequence != m_sequence || !m_isLending) {
        return;
    }
    const bool couldLend = mayLend();
    m_acknowledged.insert({note.revision, note.witness});
    if (!couldLend && mayLend()) {
        m_onGranted();
    }
}

void LendingRights::noteSettled()
{
    if (!m_isLending || isPending()) {
        return;
    }
    m_isLending = false;
    m_acknowledged.clear();
    for (int repetition = 0; repetition < Repetitions; ++repetition) {
        sendToWitnesses(peers::LendingNoteKind::CLEARED);
    }
}

std::optional<WitnessList> LendingRights::newList()
{
    if (m_unconfirmedList.has_value()) {
        return m_unconfirmedList;
    }
    const std::vector<std::string> ownZone = m_vms.otherIncarnations(true);
    const std::vector<std::string> otherZones = m_vms.otherIncarnations(false);
    const std::vector<std::string> witnesses = chooseWitnesses(ownZone, otherZones, m_random);
    const std::size_t testimonies =
        testimoniesFor(witnesses.size(), ownZone.size() + otherZones.size());
    // A list that was chosen among few VMs asks for more testimonies than are left when half of
    // many are lost.
    const bool stillServes = m_list.has_value() && m_rowVersion != RowRevision(0)
        && m_list->witnesses.size() >= witnesses.size() && m_list->testimonies <= testimonies
        && std::none_of(m_list->witnesses.begin(), m_list->witnesses.end(),
                        [this](const std::string &name) { return m_vms.isReplaced(name); });
    if (stillServes || witnesses.empty()) {
        return std::nullopt;
    }
    return WitnessList{(m_list.has_value() ? m_list->revision : 0) + 1, witnesses, testimonies};
}

void LendingRights::maintain(const RowCondition &lenders)
{
    // While something is lent, the witnesses of the list in force must keep what they know.
    if (m_writing || m_isLending || m_clock.now() < m_nextWriteAt) {
        return;
    }
    const std::optional<WitnessList> list = newList();
    if (list.has_value()) {
        write(lenders, *list);
    }
}

void LendingRights::write(const RowCondition &lenders, const WitnessList &list)
{
    RowTransaction transaction;
    transaction.conditions = {lenders, {witnessRow(m_self), m_rowVersion}};
    transaction.puts = {{witnessRow(m_self), encodeWitnessList(list)}};
    m_writing = true;
    m_unconfirmedList = list;
    m_nextWriteAt = m_clock.now() + WriteInterval;
    m_store.transact(std::move(transaction),
                     [this](const TransactionResult &result) { onWritten(result); });
}

void LendingRights::onWritten(const TransactionResult &result)
{
    m_writing = false;
    if (result.answer == StoreAnswer::Done) {
        confirm(result.version);
        return;
    }
    if (result.answer == StoreAnswer::Rejected && !m_mayBeWritten) {
        m_unconfirmedList.reset();
        return;
    }
    if (result.answer != StoreAnswer::Conflict) {
        m_mayBeWritten = true;
        return;
    }
    const auto own =
        std::find_if(result.current.begin(), result.current.end(),
                     [this](const StoreRow &row) { return row.name == witnessRow(m_self); });
    const bool isThere = own != result.current.end();
    if (isThere && decodeWitnessList(own->value) == m_unconfirmedList) {
        confirm(own->version);
        return;
    }
    // The lenders have changed meanwhile, as after the loss of a witness; the feed brings the
    // table.
    m_nextWriteAt =
        m_clock.now() + ConflictDelay + Milliseconds(m_random() % ConflictSpread.count());
    // Earlier writes depend on the same rows as this one, and can't take effect any more.
    m_unconfirmedList.reset();
    m_mayBeWritten = false;
    m_rowVersion = isThere ? own->version : RowRevision(0);
}

void LendingRights::confirm(RowRevision version)
{
    m_list = m_unconfirmedList;
    m_unconfirmedList.reset();
    m_mayBeWritten = false;
    m_rowVersion = version;
}

} // namespace boragepath
