#pragma once

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace boragepath {

/** What an answer says about whether the request was run. */
enum class Verdict {
    Ran, ///< It ran, and its outcome is recorded.
    NotRun, ///< No byte of it can have reached a backend server.
    MayHaveRun, ///< It may have reached a backend server; its outcome is not recorded.
};

/** Why a call got no ordinary answer. The names are part of the caller interface. */
enum class Reason {
    None,
    BadRequest,
    Unauthorized,
    UnknownEntry,
    EntryDisabled,
    UnknownPool,
    WrongCallNumber,
    BodyMismatch,
    GapTimeout,
    ProgramEnded,
    RateLimit,
    ProgramsLimit,
    CallsLimit,
    TokensLimit,
    BudgetExhausted,
    Overloaded,
    NoReplica,
    NotOwner,
    NoLease,
    StaleCatalogue,
    StoreUnavailable,
    Leaving,
    OutcomeUnknown,
    BackendFailed,
    RecordLost,
    Cancelled,
};

/** The wire name of a verdict: "ran", "not-run" or "may-have-run". */
std::string_view verdictName(Verdict verdict);

/** The wire name of a reason, for example "budget-exhausted". */
std::string_view reasonName(Reason reason);

/** The HTTP status that goes with a reason. */
unsigned httpStatusOf(Reason reason);

/** A final answer other than the result of the call. */
struct Refusal
{
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    /** The request field at fault, or empty. */
    std::string field;
    std::string message;
    /** When the caller should come back; zero if coming back cannot help. */
    Milliseconds retryAfter{0};
};

/** A refusal without a field at fault. */
Refusal makeRefusal(Verdict verdict, Reason reason, std::string message,
                    Milliseconds retryAfter = Milliseconds(0));

} // namespace boragepath
