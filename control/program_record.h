#pragma once

#include "control/row_store.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragepath {

/** Which turns a program has reserved tokens for. */
enum class ProgramTurns {
    None,
    /** Turns that the store keeps, which don't end without it and are never lent for. */
    StoredOnly,
    /**
     * The same since the first row of the program, which was written by a VM that could not know
     * what the lender had lent before. Earlier versions read it as Any.
     */
    StoredUnconfirmed,
    /** Also turns that a VM may have lent for, or of which that is not known. */
    Any,
};

/** How much of its token budget a program has used and reserved. Stored as one row. */
struct ProgramRecord
{
    ProgramTurns turns = ProgramTurns::None;
    /** Tokens of turns that have ended. */
    std::int64_t spent = 0;
    /** Reserved tokens of each running turn or grant: the most that it may still use. */
    std::map<AttemptId, std::int64_t> reserved;
    /**
     * The most recently settled turns, oldest first. They serve to detect a reservation or
     * settlement that is repeated or arrives late.
     */
    std::vector<AttemptId> settled;
    /** Reservations of VMs that were not the program's lender. */
    std::set<AttemptId> restricted;
    /** The part of @c spent that was reserved by such VMs. */
    std::int64_t restrictedSpent = 0;

    friend bool operator==(const ProgramRecord &, const ProgramRecord &) = default;
};

/** Reserves @p maxTokens for a turn; false and no change if the budget does not cover them. */
bool reserveTurn(ProgramRecord &record, const AttemptId &turn, std::int64_t maxTokens,
                 std::int64_t budget);
/**
 * Replaces a turn's reservation by the tokens that it used, and remembers it as settled. Adds the
 * tokens of a loan, which has no reservation.
 */
void settleTurn(ProgramRecord &record, const AttemptId &turn, std::int64_t tokens);
/**
 * Notes that tokens are reserved for a turn of one kind.
 * @param knowsLoans this VM can tell that at most one turn was lent to a program without a row.
 */
void noteTurn(ProgramRecord &record, bool mayBorrow, bool knowsLoans = true);
/** True if the turn is among the most recently settled ones. */
bool isSettled(const ProgramRecord &record, const AttemptId &turn);
/** Sum of spent and reserved tokens. */
std::int64_t committedTokens(const ProgramRecord &record);
/**
 * The same without what may still be released: grants, and reservations that VMs made for turns
 * of their own, which may never have run.
 */
std::int64_t tokensCertainlyUsed(const ProgramRecord &record);

/** Sum of spent and reserved tokens of VMs that were not the program's lender. */
std::int64_t restrictedTokens(const ProgramRecord &record);

/** The id under which tokens are settled that a VM lent without a reservation in the row. */
AttemptId loanId(const std::string &holder);
/** The id of a VM's grant in a record; no turn can have the same id. */
AttemptId grantId(const std::string &holder);
/** The id of a reservation that a VM makes for a turn in the record, after it has asked the
 * coordinator for one in vain. */
AttemptId ownReservationId(const AttemptId &turn);

/**
 * The id of the part of a grant that is reserved for one turn. The VM that runs the turn can settle
 * it if the holder of the grant is lost.
 */
AttemptId grantedTurnId(const AttemptId &turn);
/** True if an id in a record is one of grantedTurnId(). */
bool isGrantedTurnId(const AttemptId &id);

std::string encodeProgramRecord(const ProgramRecord &record);
/** Empty if @p text is not a valid record. */
std::optional<ProgramRecord> decodeProgramRecord(const std::string &text);

/** The table that holds one row with a ProgramRecord per program. */
inline constexpr const char *ProgramTable = "programs";

/** The row of a program's record. */
RowName programRow(const ProgramId &program);

} // namespace boragepath
