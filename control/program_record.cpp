#include "control/program_record.h"

#include "control/turn_rows.h"
#include "core/json_access.h"

#include <absl/strings/match.h>

#include <algorithm>

namespace boragepath {

namespace json = boost::json;

namespace {

/** Covers the turns of one program that can end within the time that a change may be late. */
constexpr std::size_t MaxSettledTurns = 12;

/** The space keeps grant ids apart from turn ids: an id that can be a row key has no spaces. */
constexpr const char *GrantPrefix = "grant ";
/** Earlier versions take it for a grant, of which they don't know how much is used either. */
constexpr const char *GrantedTurnPrefix = "grant turn ";
constexpr const char *LoanPrefix = "loan ";
constexpr const char *OwnReservationSuffix = "/own";

constexpr const char *TurnsField = "turns";
/** Rows of earlier versions lack the field, so that their programs may have had any turns. */
constexpr const char *TurnNames[] = {"none", "stored", "stored-unconfirmed", "any"};

ProgramTurns programTurnsOf(const json::object &row)
{
    const std::string text = stringAt(row, TurnsField);
    for (const ProgramTurns turns :
         {ProgramTurns::None, ProgramTurns::StoredOnly, ProgramTurns::StoredUnconfirmed}) {
        if (text == TurnNames[static_cast<std::size_t>(turns)]) {
            return turns;
        }
    }
    return ProgramTurns::Any;
}

} // namespace

bool isSettled(const ProgramRecord &record, const AttemptId &turn)
{
    return std::find(record.settled.begin(), record.settled.end(), turn) != record.settled.end();
}

bool reserveTurn(ProgramRecord &record, const AttemptId &turn, std::int64_t maxTokens,
                 std::int64_t budget)
{
    if (committedTokens(record) + maxTokens > budget) {
        return false;
    }
    record.reserved[turn] = maxTokens;
    return true;
}

void settleTurn(ProgramRecord &record, const AttemptId &turn, std::int64_t tokens)
{
    const bool isLoan = absl::StartsWith(turn.value(), LoanPrefix);
    if (isLoan) {
        noteTurn(record, true);
    }
    if (record.reserved.erase(turn) > 0 || isLoan) {
        record.spent += tokens;
        record.restrictedSpent += record.restricted.erase(turn) > 0 ? tokens : 0;
    }
    if (isGrantedTurnId(turn)) {
        // Settling it once more changes nothing, so that it need not be remembered.
        return;
    }
    record.settled.push_back(turn);
    if (record.settled.size() > MaxSettledTurns) {
        record.settled.erase(record.settled.begin());
    }
}

void noteTurn(ProgramRecord &record, bool mayBorrow, bool knowsLoans)
{
    if (mayBorrow) {
        record.turns = ProgramTurns::Any;
    } else if (knowsLoans && record.turns != ProgramTurns::Any) {
        record.turns = ProgramTurns::StoredOnly;
    } else if (record.turns == ProgramTurns::None) {
        record.turns = ProgramTurns::StoredUnconfirmed;
    }
}

std::int64_t committedTokens(const ProgramRecord &record)
{
    std::int64_t total = record.spent;
    for (const auto &[turn, maxTokens] : record.reserved) {
        total += maxTokens;
    }
    return total;
}

std::int64_t tokensCertainlyUsed(const ProgramRecord &record)
{
    std::int64_t total = record.spent;
    for (const auto &[turn, maxTokens] : record.reserved) {
        const bool mayBeReleased = absl::StartsWith(turn.value(), GrantPrefix)
            || absl::EndsWith(turn.value(), OwnReservationSuffix);
        total += mayBeReleased ? 0 : maxTokens;
    }
    return total;
}

AttemptId ownReservationId(const AttemptId &turn)
{
    return AttemptId(turn.value() + OwnReservationSuffix);
}

std::int64_t restrictedTokens(const ProgramRecord &record)
{
    std::int64_t total = record.restrictedSpent;
    for (const AttemptId &turn : record.restricted) {
        total += record.reserved.at(turn);
    }
    return total;
}

AttemptId loanId(const std::string &holder)
{
    return AttemptId(LoanPrefix + holder);
}

AttemptId grantId(const std::string &holder)
{
    return AttemptId(GrantPrefix + holder);
}

AttemptId grantedTurnId(const AttemptId &turn)
{
    return AttemptId(GrantedTurnPrefix + turn.value());
}

bool isGrantedTurnId(const AttemptId &id)
{
    return absl::StartsWith(id.value(), GrantedTurnPrefix);
}

std::string encodeProgramRecord(const ProgramRecord &record)
{
    json::object reserved;
    for (const auto &[turn, maxTokens] : record.reserved) {
        reserved[turn.value()] = maxTokens;
    }
    json::array settled;
    for (const AttemptId &turn : record.settled) {
        settled.push_back(json::value(turn.value()));
    }
    json::object row{{"spent", record.spent},
                     {"reserved", reserved},
                     {"settled", settled},
                     {TurnsField, TurnNames[static_cast<std::size_t>(record.turns)]}};
    if (!record.restricted.empty() || record.restrictedSpent > 0) {
        json::array restricted;
        for (const AttemptId &turn : record.restricted) {
            restricted.push_back(json::value(turn.value()));
        }
        row["restricted"] = restricted;
        row["restricted_spent"] = record.restrictedSpent;
    }
    return json::serialize(row);
}

std::optional<ProgramRecord> decodeProgramRecord(const std::string &text)
{
    json::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    const json::object &object = value.get_object();
    const json::value *spent = object.if_contains("spent");
    const json::object *reserved = objectAt(object, "reserved");
    if (spent == nullptr || !spent->is_int64() || reserved == nullptr) {
        return std::nullopt;
    }
    ProgramRecord record;
    record.spent = spent->get_int64();
    record.turns = programTurnsOf(object);
    for (const auto &item : *reserved) {
        if (!item.value().is_int64()) {
            return std::nullopt;
        }
        record.reserved[AttemptId(std::string(item.key()))] = item.value().get_int64();
    }
    for (const json::value &turn : arrayAt(object, "settled")) {
        if (!turn.is_string()) {
            return std::nullopt;
        }
        record.settled.emplace_back(std::string(turn.get_string()));
    }
    for (const json::value &turn : arrayAt(object, "restricted")) {
        const AttemptId id(turn.is_string() ? std::string(turn.get_string()) : std::string());
        if (!record.reserved.contains(id)) {
            return std::nullopt;
        }
        record.restricted.insert(id);
    }
    const json::value *restrictedSpent = object.if_contains("restricted_spent");
    if (restrictedSpent != nullptr) {
        if (!restrictedSpent->is_int64()) {
            return std::nullopt;
        }
        record.restrictedSpent = restrictedSpent->get_int64();
    }
    return record;
}

RowName programRow(const ProgramId &program)
{
    return {ProgramTable, partitionFor(program.value()), program.value()};
}

} // namespace boragepath
