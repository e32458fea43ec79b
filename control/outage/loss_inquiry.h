#pragma once

#include "control/outage/lending_witness.h"
#include "control/row_store.h"
#include "control/vm_directory.h"
#include "core/clock.h"
#include "peers/gen/messages_types.h"

#include <optional>
#include <set>
#include <string>

namespace boragepath {

/** What the witnesses of a lost lender say. */
struct LossInquiry
{
    SteadyTime startedAt;
    /** None until the row with the lender's list has been read; empty if there is no such row. */
    std::optional<WitnessList> list;
    RowRevision rowVersion;
    /** Witnesses that say that it has lent nothing, and acknowledge nothing more. */
    std::set<std::string> withoutLoans;
    /** Witnesses that know of loans that the rows may lack. */
    std::set<std::string> withLoans;
    /** When the next incarnation of the VM was first answered, by the store's clock. */
    std::optional<Milliseconds> nextStart;
};

enum class InquiryResult { Pending, NothingLent, Unknown };

/** Takes the testimony of a witness; ignored if it is about another list. */
void addTestimony(LossInquiry &inquiry, const peers::LendingNote &note);

InquiryResult resultOf(const LossInquiry &inquiry, SteadyTime now);

/** What each witness on the list has said, or why it has said nothing; for the log. */
std::string testimoniesOf(const LossInquiry &inquiry, const VmDirectory &vms);

} // namespace boragepath
