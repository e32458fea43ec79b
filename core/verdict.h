#pragma once

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace boragepath {

/** States in an answer whether the request was run. */
enum class Verdict {
    Ran, ///< The request ran and its outcome is recorded.
    NotRun, ///< No byte of the request can have reached a backend server.
    MayHaveRun, ///< It may have reached a backend server; no outcome is recorded.
};

/** Why a call was refused. reasonName() gives the names that callers see. */
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

/** The name of a verdict in answers: "ran", "not-run" or "may-have-run". */
std::string_view verdictName(Verdict verdict);

/** The name of a reason in answers, for example "budget-exhausted". */
std::string_view reasonName(Reason reason);

/** The HTTP status of an answer with this reason. */
unsigned httpStatusOf(Reason reason);

/** A final answer other than the result of the call. */
struct Refusal
{
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    /** The request field that caused the refusal, or empty. */
    std::string field;
    std::string message;
    /** How long the caller should wait before a retry; zero if a retry cannot help. */
    Milliseconds retryAfter{0};
};

/** A refusal that no single request field caused. */
Refusal makeRefusal(Verdict verdict, Reason reason, std::string message,
                    Milliseconds retryAfter = Milliseconds(0));

} // namespace boragepath
