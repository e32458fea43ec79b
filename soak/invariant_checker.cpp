#include "soak/invariant_checker.h"

#include "soak/lost_checks.h"
#include "standin/platform_replica.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace boragepath::soak {

namespace {

/** Statuses that guarantee that the request has not run and never will. */
constexpr std::array<unsigned, 6> NotRunStatuses = {401, 402, 408, 421, 429, 503};
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBudgetExhausted = 402;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusGone = 410;

/** A VM may send requests to a leaving replica for this long after it has passed on the news. */
constexpr Milliseconds DrainBound{2'000};
/** A VM heeds a limit this long after it has passed on an answer that names it. */
constexpr Milliseconds LimitReactionTime{500};
/** A limit binds from then on after the replica has first named it. */
constexpr Milliseconds LimitBindsAfter{3'000};
constexpr Milliseconds LimitWindow{4'000};
constexpr double LimitTolerance = 1.5;
constexpr double LimitSlackRequests = 5;
/** Requests that crash replicas are sent on so often after this time from their third crash. */
constexpr Milliseconds CrashReactionTime{3'000};
constexpr std::size_t CrashesUntilBound = 3;
constexpr int MaxSentAfterThirdCrash = 3;
/** From sending to the crash, and until its callers' VM has seen it. */
constexpr Milliseconds CrashTime{200};
/** What a VM knew this long before it was disrupted may be lost with it. */
constexpr Milliseconds DisruptionMargin{1'000};

/** The request with which the stream of an attempt began. */
const std::string &firstAttemptOf(const std::string &id, const Attempt &attempt)
{
    return attempt.received.has_value() ? attempt.received->firstAttempt : id;
}

/** Events of an attempt's stream that the caller had before it. */
int eventsBefore(const Attempt &attempt)
{
    return attempt.received.has_value() ? attempt.received->events : 0;
}

bool mayRunMoreThanOnce(CallKind kind)
{
    return kind == CallKind::Idempotent || kind == CallKind::ResumableStream;
}

} // namespace

bool meansNotRun(unsigned status)
{
    return std::find(NotRunStatuses.begin(), NotRunStatuses.end(), status) != NotRunStatuses.end();
}

InvariantChecker::InvariantChecker(const Clock &clock)
    : m_clock(clock)
{ }

void InvariantChecker::addViolation(const std::string &kind, const std::string &id,
                                    const std::string &detail)
{
    m_violations.push_back(absl::StrCat(kind, " request ", id, ": ", detail));
}

std::string InvariantChecker::conversation(const std::string &turn) const
{
    const auto found = m_conversations.find(turn);
    return found == m_conversations.end() ? std::string() : found->second;
}

void InvariantChecker::recordSent(const std::string &id, const Attempt &attempt,
                                  const Endpoint &front)
{
    Record &record = m_records[id];
    record.attempt = attempt;
    record.front = front;
    record.sentAt = m_clock.now();
    m_programs[attempt.program].push_back(id);
}

void InvariantChecker::recordRun(const HttpRequest &request, const std::string &replica)
{
    const std::string id = request.headerValue("Attempt-Id");
    const auto found = m_records.find(id);
    if (found == m_records.end()) {
        addViolation("UNASKED", id, "no caller sent this request");
        return;
    }
    Record &record = found->second;
    record.runs += 1;
    record.runFacts.push_back({replica, m_clock.now(), std::nullopt, false});
    m_counts["run by replicas"] += 1;
    if (record.runs > 1 && !mayRunMoreThanOnce(record.attempt.kind)) {
        addViolation("TWICE", id, absl::StrCat("ran again on replica ", replica));
    }
    if (record.ended && meansNotRun(record.status)) {
        addViolation("REFUSED", id,
                     absl::StrCat("ran after its caller received status ", record.status));
    }
    checkRequestBody(id, record, request);
    checkOrganisationOfRun(id, record, request);
    checkDraining(id, record, replica);
    checkLimit(id, record, replica);
    if (PlatformReplica::crashesReplicas(request.target)) {
        checkCrashes(id, record, request.target);
    }
}

void InvariantChecker::checkCrashes(const std::string &id, const Record &record,
                                    const std::string &target)
{
    m_counts["crashes by requests"] += 1;
    CrashingTarget &crashing = m_crashingTargets[target];
    const SteadyTime now = m_clock.now();
    crashing.runs.push_back(now);
    const auto disruption = m_disruptedAt.find(record.front);
    const bool inTouch = now >= m_storeDisruptedAt + CrashReactionTime
        && (disruption == m_disruptedAt.end() || now >= disruption->second + CrashReactionTime);
    const bool isLate = crashing.runs.size() > CrashesUntilBound
        && record.sentAt >= crashing.runs[CrashesUntilBound - 1] + CrashTime + CrashReactionTime;
    crashing.late += inTouch && isLate ? 1 : 0;
    if (crashing.late > MaxSentAfterThirdCrash) {
        addViolation("BUDGET", id,
                     absl::StrCat("request to ", target, " reached replicas ", crashing.late,
                                  " times after it had ended three"));
    }
}

void InvariantChecker::recordLimit(const std::string &replica, std::optional<double> perSecond)
{
    m_limited.erase(replica);
    if (perSecond.has_value()) {
        m_limited[replica] = {*perSecond, m_clock.now(), {}, {}};
    }
}

void InvariantChecker::recordLimitedAnswer(const Endpoint &front, const std::string &replica)
{
    m_counts["answers of limited replicas"] += 1;
    const auto limited = m_limited.find(replica);
    const auto disruption = m_disruptedAt.find(front);
    const bool mayBeLost =
        disruption != m_disruptedAt.end() && m_clock.now() < disruption->second + DisruptionMargin;
    if (limited != m_limited.end() && !mayBeLost) {
        limited->second.toldAt.try_emplace(front, m_clock.now());
    }
}

void InvariantChecker::checkLimit(const std::string &id, const Record &record,
                                  const std::string &replica)
{
    const auto found = m_limited.find(replica);
    if (found == m_limited.end()) {
        return;
    }
    LimitedReplica &limited = found->second;
    const SteadyTime now = m_clock.now();
    const auto told = limited.toldAt.find(record.front);
    const bool excused = told == limited.toldAt.end() || now < told->second + LimitReactionTime
        || now < limited.since + LimitBindsAfter;
    if (excused) {
        return;
    }
    m_counts["requests to limited replicas that count"] += 1;
    limited.arrivals.push_back(now);
    while (limited.arrivals.front() + LimitWindow <= now) {
        limited.arrivals.pop_front();
    }
    const std::chrono::duration<double> window = LimitWindow;
    const double allowed = LimitTolerance * limited.perSecond * window.count() + LimitSlackRequests;
    if (static_cast<double>(limited.arrivals.size()) > allowed) {
        addViolation("LIMIT", id,
                     absl::StrCat(limited.arrivals.size(), " requests in 4 s at replica ", replica,
                                  ", which takes ", limited.perSecond, " a second"));
    }
}

void InvariantChecker::recordLeavingAnswer(const Endpoint &front, const std::string &replica)
{
    m_counts["answers of leaving replicas"] += 1;
    m_leavingNotices.try_emplace({front, replica}, m_clock.now());
}

void InvariantChecker::recordStoreDisruption(const std::optional<Endpoint> &front, bool begins)
{
    m_storeDisruptedAt = m_clock.now();
    m_quotas.settle(m_storeAccess.allSince(), m_clock.now());
    if (front.has_value()) {
        m_storeAccess.recordLink(*front, begins, m_clock.now());
    } else {
        m_storeAccess.recordStore(begins, m_clock.now());
    }
}

void InvariantChecker::recordVmDisruption(const Endpoint &front, bool paused)
{
    m_quotas.settle(m_storeAccess.allSince(), m_clock.now());
    m_storeAccess.recordVm(front, paused, m_clock.now());
    m_disruptedAt[front] = m_clock.now();
    for (auto &[replica, limited] : m_limited) {
        limited.toldAt.erase(front);
    }
}

void InvariantChecker::recordReplicaStart(const std::string &replica)
{
    std::erase_if(m_leavingNotices,
                  [&](const auto &item) { return item.first.replica == replica; });
    m_limited.erase(replica);
}

void InvariantChecker::checkDraining(const std::string &id, const Record &record,
                                     const std::string &replica)
{
    const auto notice = m_leavingNotices.find({record.front, replica});
    if (notice == m_leavingNotices.end() || record.sentAt < notice->second + DrainBound) {
        return;
    }
    const auto disruption = m_disruptedAt.find(record.front);
    if (disruption != m_disruptedAt.end()
        && disruption->second + DisruptionMargin > notice->second) {
        return;
    }
    addViolation("DRAIN", id,
                 absl::StrCat("sent to ", record.front.text(), ", reached replica ", replica,
                              " long after that VM had passed on that it leaves"));
}

void InvariantChecker::checkRequestBody(const std::string &id, const Record &record,
                                        const HttpRequest &request)
{
    const Attempt &attempt = record.attempt;
    const std::string storedConversation =
        attempt.kind == CallKind::StoredTurn ? conversation(attempt.previousTurn) : std::string();
    if (request.body != storedConversation + attempt.input) {
        addViolation("UNASKED", id,
                     absl::StrCat("ran with a body of ", request.body.size(), " bytes, expected ",
                                  storedConversation.size() + attempt.input.size()));
    }
}

std::optional<ReceivedStream> InvariantChecker::recordResult(const std::string &id,
                                                             const AttemptResult &result)
{
    Record &record = m_records[id];
    record.ended = true;
    record.status = result.status;
    record.endedAt = m_clock.now();
    m_counts[absl::StrCat("answered ", result.status, result.complete ? "" : " in part")] += 1;
    if (meansNotRun(result.status) && record.runs > 0) {
        addViolation("REFUSED", id,
                     absl::StrCat("was answered with status ", result.status, " although it ran"));
    }
    if (result.status == StatusBudgetExhausted) {
        recordBudgetRefusal(id, record);
    }
    checkOrganisationOfResult(id, record);
    const bool isUnknown = result.status == StatusNotFound || result.status == StatusGone;
    if (isUnknown && !continuesForeignTurn(record.attempt)) {
        addViolation("LOST", id,
                     absl::StrCat("was answered with status ", result.status,
                                  "; it continues from turn ", record.attempt.previousTurn));
    }
    countTakenUp(record, result);
    if (result.status != StatusOk) {
        return record.attempt.received;
    }
    const CallKind kind = record.attempt.kind;
    if (kind == CallKind::ResumableStream || kind == CallKind::StoredTurn) {
        std::optional<ReceivedStream> received = checkStream(id, record, result);
        checkBudget(id, record);
        return received;
    }
    if (result.complete) {
        checkSingleAnswer(id, result);
    }
    return std::nullopt;
}

void InvariantChecker::countTakenUp(const Record &record, const AttemptResult &result)
{
    if (!record.attempt.received.has_value()) {
        return;
    }
    const char *outcome = result.status == StatusOk ? "went on"
        : meansNotRun(result.status)                ? "refused"
                                                    : "failed";
    m_counts[absl::StrCat("streams taken up: ", outcome)] += 1;
}

void InvariantChecker::checkSingleAnswer(const std::string &id, const AttemptResult &result)
{
    if (!result.hasSeal || result.body != ReplicaAnswers::fullBody(id)) {
        addViolation("MIXED", id, absl::StrCat("unexpected answer body \"", result.body, "\""));
    }
}

std::optional<ReceivedStream> InvariantChecker::checkStream(const std::string &id, Record &record,
                                                            const AttemptResult &result)
{
    const std::vector<std::string> events = absl::StrSplit(result.body, "\n\n");
    ReceivedStream received =
        record.attempt.received.value_or(ReceivedStream{id, std::string(), 0});
    std::string answerText;
    // The text after the last blank line is not a complete event.
    for (std::size_t index = 0; index + 1 < events.size(); ++index) {
        if (received.version.empty()) {
            received.version = ReplicaAnswers::versionOf(events[index]);
        }
        received.events += 1;
        const std::string data =
            ReplicaAnswers::eventData(received.firstAttempt, received.version, received.events);
        if (events[index] != absl::StrCat("id: ", received.events, "\ndata: ", data)) {
            addViolation("ORDER", id,
                         absl::StrCat("unexpected text in event ", received.events, ": \"",
                                      events[index], "\", not \"", data, "\""));
            return std::nullopt;
        }
        absl::StrAppend(&answerText, data, "\n");
    }
    record.tokens = (received.events - eventsBefore(record.attempt)) * TokensPerEvent;
    if (result.complete) {
        record.isWhole = true;
        checkStreamEnd(id, result, received);
        if (record.attempt.kind == CallKind::StoredTurn) {
            m_conversations[id] =
                conversation(record.attempt.previousTurn) + record.attempt.input + answerText;
        }
    }
    return received.events == 0 ? std::nullopt : std::optional(received);
}

void InvariantChecker::checkStreamEnd(const std::string &id, const AttemptResult &result,
                                      const ReceivedStream &received)
{
    const bool endsAfterAnEvent = result.body.empty() || result.body.ends_with("\n\n");
    if (!result.hasSeal || received.events != ReplicaAnswers::eventCount(received.firstAttempt)
        || !endsAfterAnEvent) {
        addViolation("ORDER", id,
                     absl::StrCat("stream ended as complete after ", received.events, " events"));
        return;
    }
    m_counts["streams whole"] += 1;
}

void InvariantChecker::checkBudget(const std::string &id, const Record &record)
{
    std::int64_t deliveredTokens = 0;
    for (const std::string &other : m_programs[record.attempt.program]) {
        deliveredTokens += m_records[other].tokens;
    }
    if (deliveredTokens > record.attempt.budget + record.attempt.maxTokens) {
        addViolation("BUDGET", id,
                     absl::StrCat(deliveredTokens, " tokens delivered, budget ",
                                  record.attempt.budget, ", program ", record.attempt.program));
    }
}

void InvariantChecker::recordBudgetRefusal(const std::string &id, const Record &record)
{
    BudgetRefusal refusal;
    refusal.id = id;
    for (const std::string &other : m_programs[record.attempt.program]) {
        const Record &turn = m_records[other];
        if (other == id || turn.attempt.maxTokens == 0) {
            continue;
        }
        const bool settled = turn.ended && m_clock.now() >= turn.endedAt + SettlementTime
            && turn.status == StatusOk
            && turn.tokens
                == (ReplicaAnswers::eventCount(firstAttemptOf(other, turn.attempt))
                    - eventsBefore(turn.attempt))
                    * TokensPerEvent;
        if (settled) {
            refusal.settled += turn.tokens;
        } else {
            refusal.unsettled.push_back(other);
        }
    }
    m_budgetRefusals.push_back(std::move(refusal));
}

void InvariantChecker::recordConnection(const std::string &id, const ConnectionFacts &connection)
{
    m_records[id].connection = connection;
    m_counts["calls on kept connections"] += connection.callsBefore > 0 ? 1 : 0;
}

void InvariantChecker::recordRunEnd(const HttpRequest &request, const std::string &replica,
                                    bool brokeOff)
{
    const auto record = m_records.find(request.headerValue("Attempt-Id"));
    if (record == m_records.end()) {
        return;
    }
    std::vector<RunFacts> &runs = record->second.runFacts;
    const auto run = std::find_if(runs.begin(), runs.end(), [&](const RunFacts &item) {
        return item.replica == replica && !item.endedAt.has_value();
    });
    if (run != runs.end()) {
        run->endedAt = m_clock.now();
        run->brokeOff = brokeOff;
    }
}

std::vector<CallFacts> InvariantChecker::callFacts() const
{
    std::vector<CallFacts> calls;
    for (const auto &[id, record] : m_records) {
        const Attempt &attempt = record.attempt;
        if (record.ended) {
            calls.push_back({id, attempt.firstTry.empty() ? id : attempt.firstTry, record.front,
                             record.sentAt, record.status, record.connection, record.runFacts,
                             attempt.kind == CallKind::StoredTurn, attempt.previousTurn,
                             attempt.program, attempt.budget, attempt.maxTokens, record.tokens,
                             record.isWhole});
        }
    }
    std::sort(calls.begin(), calls.end(), [](const CallFacts &first, const CallFacts &second) {
        return first.sentAt < second.sentAt;
    });
    return calls;
}

void InvariantChecker::finish()
{
    checkBudgetRefusals();
    for (const LostCall &call : lostCalls(callFacts(), m_faults)) {
        addViolation(call.kind, call.id, call.detail);
    }
}

void InvariantChecker::checkBudgetRefusals()
{
    for (const BudgetRefusal &refusal : m_budgetRefusals) {
        const Attempt &attempt = m_records[refusal.id].attempt;
        std::int64_t countedTokens = refusal.settled;
        for (const std::string &turn : refusal.unsettled) {
            countedTokens += m_records[turn].runs > 0 ? attempt.maxTokens : 0;
        }
        if (countedTokens + attempt.maxTokens <= attempt.budget) {
            addViolation("BUDGET", refusal.id,
                         absl::StrCat("refused although at most ", countedTokens, " of ",
                                      attempt.budget, " tokens were used in program ",
                                      attempt.program));
        }
    }
    m_budgetRefusals.clear();
}

} // namespace boragepath::soak
