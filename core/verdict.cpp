#include "core/verdict.h"

#include <utility>

namespace boragepath {

namespace {

constexpr unsigned HttpBadRequest = 400;
constexpr unsigned HttpUnauthorized = 401;
constexpr unsigned HttpForbidden = 403;
constexpr unsigned HttpNotFound = 404;
constexpr unsigned HttpConflict = 409;
constexpr unsigned HttpGone = 410;
constexpr unsigned HttpTooManyRequests = 429;
constexpr unsigned HttpBadGateway = 502;
constexpr unsigned HttpUnavailable = 503;

/** Name and HTTP status of one reason, as callers see them. */
struct ReasonInfo
{
    Reason reason;
    std::string_view name;
    unsigned httpStatus;
};

constexpr ReasonInfo ReasonTable[] = {
    {Reason::None, "none", 200},
    {Reason::BadRequest, "bad-request", HttpBadRequest},
    {Reason::Unauthorized, "unauthorized", HttpUnauthorized},
    {Reason::UnknownEntry, "unknown-entry", HttpUnauthorized},
    {Reason::EntryDisabled, "entry-disabled", HttpForbidden},
    {Reason::UnknownPool, "unknown-pool", HttpNotFound},
    {Reason::WrongCallNumber, "wrong-call-number", HttpConflict},
    {Reason::BodyMismatch, "body-mismatch", HttpConflict},
    {Reason::GapTimeout, "gap-timeout", HttpConflict},
    {Reason::ProgramEnded, "program-ended", HttpGone},
    {Reason::RateLimit, "rate-limit", HttpTooManyRequests},
    {Reason::ProgramsLimit, "programs-limit", HttpTooManyRequests},
    {Reason::CallsLimit, "calls-limit", HttpForbidden},
    {Reason::TokensLimit, "tokens-limit", HttpForbidden},
    {Reason::BudgetExhausted, "budget-exhausted", HttpTooManyRequests},
    {Reason::Overloaded, "overloaded", HttpUnavailable},
    {Reason::NoReplica, "no-replica", HttpUnavailable},
    {Reason::NotOwner, "not-owner", HttpUnavailable},
    {Reason::NoLease, "no-lease", HttpUnavailable},
    {Reason::StaleCatalogue, "stale-catalogue", HttpUnavailable},
    {Reason::StoreUnavailable, "store-unavailable", HttpUnavailable},
    {Reason::Leaving, "leaving", HttpUnavailable},
    {Reason::OutcomeUnknown, "outcome-unknown", HttpConflict},
    {Reason::BackendFailed, "backend-failed", HttpBadGateway},
    {Reason::RecordLost, "record-lost", HttpUnavailable},
    {Reason::Cancelled, "cancelled", HttpConflict},
};

const ReasonInfo &infoOf(Reason reason)
{
    for (const ReasonInfo &info : ReasonTable) {
        if (info.reason == reason) {
            return info;
        }
    }
    return ReasonTable[0];
}

} // namespace

std::string_view verdictName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Ran:
        return "ran";
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    }
    return "may-have-run";
}

std::string_view reasonName(Reason reason)
{
    return infoOf(reason).name;
}

unsigned httpStatusOf(Reason reason)
{
    return infoOf(reason).httpStatus;
}

Refusal makeRefusal(Verdict verdict, Reason reason, std::string message, Milliseconds retryAfter)
{
    Refusal refusal;
    refusal.verdict = verdict;
    refusal.reason = reason;
    refusal.message = std::move(message);
    refusal.retryAfter = retryAfter;
    return refusal;
}

} // namespace boragepath
