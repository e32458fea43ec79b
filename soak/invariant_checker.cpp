#include "soak/invariant_checker.h"

#include "standin/platform_replica.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace boragepath::soak {

namespace {

/** Each of these says: has not run, and never will. */
constexpr std::array<unsigned, 5> Promises = {402, 408, 421, 429, 503};
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusSpent = 402;
constexpr unsigned StatusNotFound = 404;
/** Turns that ended this long ago are settled; before, they may count at their most. */
constexpr Milliseconds SettleTime{1'000};

bool isPromise(unsigned status)
{
    return std::find(Promises.begin(), Promises.end(), status) != Promises.end();
}

bool mayRunAgain(CallKind kind)
{
    return kind == CallKind::Repeatable || kind == CallKind::Stream;
}

} // namespace

Witness::Witness(const Clock &clock)
    : m_clock(clock)
{ }

void Witness::breakPromise(const std::string &promise, const std::string &id,
                           const std::string &detail)
{
    m_broken.push_back(absl::StrCat(promise, " request ", id, ": ", detail));
}

std::string Witness::conversation(const std::string &turn) const
{
    const auto found = m_conversations.find(turn);
    return found == m_conversations.end() ? std::string() : found->second;
}

void Witness::sent(const std::string &id, const Attempt &attempt)
{
    m_records[id].attempt = attempt;
    m_programs[attempt.program].push_back(id);
}

void Witness::ran(const HttpRequest &request, const std::string &replica)
{
    const std::string id = request.headerValue("Attempt-Id");
    const auto found = m_records.find(id);
    if (found == m_records.end()) {
        breakPromise("UNASKED", id, "no caller sent it");
        return;
    }
    Record &record = found->second;
    record.runs += 1;
    m_counts["run by replicas"] += 1;
    if (record.runs > 1 && !mayRunAgain(record.attempt.kind)) {
        breakPromise("TWICE", id, absl::StrCat("runs again, at ", replica));
    }
    if (record.ended && isPromise(record.status)) {
        breakPromise("REFUSED", id, absl::StrCat("runs after the answer ", record.status));
    }
    checkTurnsBody(id, record, request);
}

void Witness::checkTurnsBody(const std::string &id, const Record &record,
                             const HttpRequest &request)
{
    const Attempt &attempt = record.attempt;
    const std::string before =
        attempt.kind == CallKind::KeptTurn ? conversation(attempt.previousTurn) : std::string();
    if (request.body != before + attempt.input) {
        breakPromise("UNASKED", id,
                     absl::StrCat("runs with ", request.body.size(), " bytes in place of ",
                                  before.size() + attempt.input.size()));
    }
}

void Witness::ended(const std::string &id, const AttemptEnd &end)
{
    Record &record = m_records[id];
    record.ended = true;
    record.status = end.status;
    record.endedAt = m_clock.now();
    m_counts[absl::StrCat("answered ", end.status, end.whole ? "" : " in part")] += 1;
    if (isPromise(end.status) && record.runs > 0) {
        breakPromise("REFUSED", id, absl::StrCat("answered ", end.status, " and has run"));
    }
    if (end.status == StatusSpent) {
        noteSpent(id, record);
    }
    if (end.status == StatusNotFound) {
        breakPromise("LOST", id,
                     absl::StrCat("answered 404; continues from ", record.attempt.previousTurn));
    }
    if (end.status != StatusOk) {
        return;
    }
    const CallKind kind = record.attempt.kind;
    if (kind == CallKind::Stream || kind == CallKind::KeptTurn) {
        checkStream(id, record, end);
        checkBudget(id, record);
    } else if (end.whole) {
        checkWhole(id, end);
    }
}

void Witness::checkWhole(const std::string &id, const AttemptEnd &end)
{
    if (!end.sealed || end.body != ReplicaAnswers::wholeBody(id)) {
        breakPromise("MIXED", id, absl::StrCat("is answered with \"", end.body, "\""));
    }
}

void Witness::checkStream(const std::string &id, Record &record, const AttemptEnd &end)
{
    const std::vector<std::string> events = absl::StrSplit(end.body, "\n\n");
    int number = 0;
    std::string said;
    // What is behind the last blank line is no whole event.
    for (std::size_t index = 0; index + 1 < events.size(); ++index) {
        number += 1;
        const std::string data = ReplicaAnswers::eventData(id, number);
        if (events[index] != absl::StrCat("id: ", number, "\ndata: ", data)) {
            breakPromise("ORDER", id,
                         absl::StrCat("event ", number, " is \"", events[index], "\""));
            return;
        }
        absl::StrAppend(&said, data, "\n");
    }
    record.tokens = number * TokensPerEvent;
    if (!end.whole) {
        return;
    }
    if (!end.sealed || number != ReplicaAnswers::eventCount(id) || !events.back().empty()) {
        breakPromise("ORDER", id, absl::StrCat("ends as complete after ", number, " events"));
        return;
    }
    m_counts["streams whole"] += 1;
    if (record.attempt.kind == CallKind::KeptTurn) {
        m_conversations[id] =
            conversation(record.attempt.previousTurn) + record.attempt.input + said;
    }
}

void Witness::checkBudget(const std::string &id, const Record &record)
{
    std::int64_t handedOut = 0;
    for (const std::string &other : m_programs[record.attempt.program]) {
        handedOut += m_records[other].tokens;
    }
    if (handedOut > record.attempt.budget + record.attempt.most) {
        breakPromise("BUDGET", id,
                     absl::StrCat(handedOut, " tokens of ", record.attempt.budget, " in program ",
                                  record.attempt.program));
    }
}

void Witness::noteSpent(const std::string &id, const Record &record)
{
    SpentRefusal refusal;
    refusal.id = id;
    for (const std::string &other : m_programs[record.attempt.program]) {
        const Record &turn = m_records[other];
        if (other == id || turn.attempt.most == 0) {
            continue;
        }
        const bool settled = turn.ended && m_clock.now() >= turn.endedAt + SettleTime
            && turn.status == StatusOk
            && turn.tokens == ReplicaAnswers::eventCount(other) * TokensPerEvent;
        if (settled) {
            refusal.settled += turn.tokens;
        } else {
            refusal.unsettled.push_back(other);
        }
    }
    m_spentRefusals.push_back(std::move(refusal));
}

void Witness::finish()
{
    for (const SpentRefusal &refusal : m_spentRefusals) {
        const Attempt &attempt = m_records[refusal.id].attempt;
        std::int64_t committed = refusal.settled;
        for (const std::string &turn : refusal.unsettled) {
            committed += m_records[turn].runs > 0 ? attempt.most : 0;
        }
        if (committed + attempt.most <= attempt.budget) {
            breakPromise("BUDGET", refusal.id,
                         absl::StrCat("refused with at most ", committed, " of ", attempt.budget,
                                      " tokens handed out in program ", attempt.program));
        }
    }
    m_spentRefusals.clear();
}

} // namespace boragepath::soak
