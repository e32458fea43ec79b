#include "control/outage/loss_inquiry.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace boragepath {

namespace {

/** A VM that is alive answers a question within this time, also if one datagram is lost. */
constexpr Milliseconds InquiryTime{1'200};

std::string testimonyOf(const LossInquiry &inquiry, const std::string &witness,
                        const VmDirectory &vms)
{
    if (inquiry.withLoans.contains(witness)) {
        return "lent";
    }
    if (inquiry.withoutLoans.contains(witness)) {
        return "nothing lent";
    }
    return vms.isReplaced(witness) ? "restarted" : "silent";
}

} // namespace

void addTestimony(LossInquiry &inquiry, const peers::LendingNote &note)
{
    if (!inquiry.list.has_value() || note.revision != inquiry.list->revision) {
        return;
    }
    const std::vector<std::string> &witnesses = inquiry.list->witnesses;
    if (std::find(witnesses.begin(), witnesses.end(), note.witness) == witnesses.end()) {
        return;
    }
    (note.hasLent ? inquiry.withLoans : inquiry.withoutLoans).insert(note.witness);
}

InquiryResult resultOf(const LossInquiry &inquiry, SteadyTime now)
{
    // What is not known by the witnesses may be known by the VM's next incarnation.
    const bool isOver = now >= inquiry.startedAt + InquiryTime;
    const bool canTell =
        inquiry.list.has_value() && !inquiry.list->witnesses.empty() && inquiry.withLoans.empty();
    if (canTell && inquiry.withoutLoans.size() >= inquiry.list->testimonies) {
        return InquiryResult::NothingLent;
    }
    return isOver ? InquiryResult::Unknown : InquiryResult::Pending;
}

std::string testimoniesOf(const LossInquiry &inquiry, const VmDirectory &vms)
{
    std::string text;
    for (const std::string &witness : inquiry.list.value_or(WitnessList()).witnesses) {
        absl::StrAppend(&text, text.empty() ? "" : ", ", witness, ": ",
                        testimonyOf(inquiry, witness, vms));
    }
    return text;
}

} // namespace boragepath
