#include "control/outage/budget_lenders.h"

#include "core/logging.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

// How lost lenders are replaced: what they can have lent, and the table that follows.

namespace boragepath {

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
            askForStart(lender);
            askWitnesses(lender, found->second);
            allDone = false;
        }
    }
    return allDone;
}

void BudgetLenders::startInquiry(const std::string &lender)
{
    m_inquiries[lender].startedAt = m_clock.now();
    m_promises.read();
    askForStart(lender);
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

void BudgetLenders::askForStart(const std::string &lender)
{
    LossInquiry &inquiry = m_inquiries.at(lender);
    if (inquiry.nextStart.has_value()) {
        return;
    }
    const std::optional<Endpoint> successor = m_vms.findSuccessor(lender);
    if (successor.has_value()) {
        peers::LendingNote note;
        note.kind = peers::LendingNoteKind::START_QUESTION;
        note.lender = lender;
        m_send(*successor, note);
    } else if (m_vms.isReplaced(lender)) {
        // An earlier incarnation of this VM, or of one that is not live either.
        inquiry.nextStart = isOwnIncarnation(lender) ? m_firstAnswer : std::nullopt;
    }
}

void BudgetLenders::answerStart(const Endpoint &from, const peers::LendingNote &note)
{
    if (note.kind == peers::LendingNoteKind::START_QUESTION) {
        if (isOwnIncarnation(note.lender) && m_firstAnswer.has_value()) {
            peers::LendingNote answer = note;
            answer.kind = peers::LendingNoteKind::START;
            answer.__set_storeMillis(m_firstAnswer->count());
            m_send(from, answer);
        }
        return;
    }
    const auto found = m_inquiries.find(note.lender);
    if (found != m_inquiries.end() && note.__isset.storeMillis) {
        found->second.nextStart = Milliseconds(note.storeMillis);
    }
}

bool BudgetLenders::isOwnIncarnation(const std::string &lender) const
{
    return absl::StartsWith(lender, absl::StrCat(m_vms.self().vm.value(), "/"))
        && m_vms.isReplaced(lender);
}

bool BudgetLenders::keptItsPromise(const std::string &lender, const LossInquiry &inquiry) const
{
    const bool heldUntilNextStart =
        inquiry.nextStart.has_value() && m_promises.isPromised(lender, *inquiry.nextStart);
    return heldUntilNextStart || m_promisedSilent.contains(lender);
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
        const bool isPromised = keptItsPromise(lender, inquiry);
        if (nothingLent) {
            exceptions.withoutLoans.insert(lender);
            change.conditions.push_back({witnessRow(lender), inquiry.rowVersion});
        }
        if (isPromised) {
            exceptions.promised.insert(lender);
        }
        if (inquiry.rowVersion != RowRevision(0)) {
            change.removals.push_back(witnessRow(lender));
        }
        LogLine("lenders")
            .add("lender", lender)
            .add("witnesses", static_cast<std::int64_t>(inquiry.withoutLoans.size()))
            .add("testimonies", testimoniesOf(inquiry, m_vms))
            .add("replaced", m_vms.isReplaced(lender) ? "restarted" : "silent")
            .add("outcome",
                 nothingLent      ? "lost-nothing-lent"
                     : isPromised ? "lost-one-turn-lent"
                                  : "lost")
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

} // namespace boragepath
