#include "control/send_permits.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace boragepath {

namespace {

/** Replicas for which permits are remembered; more name a limit at the same time. */
constexpr std::size_t MaxProspects = 1'000;
/** Several round trips between zones; a VM that is alive has answered by then. */
constexpr Milliseconds AnswerTimeout{60};
/** Pause after a question that was not answered, or that another VM has to answer. */
constexpr Milliseconds RetryPause{150};
/**
 * Permits are issued at the full limit while this part of the VMs is in sight. The inverse bounds
 * what the sides of a network partition issue together; it must stay below the one and a half
 * times the limit that a replica accepts.
 */
constexpr double FullRateShare = 0.75;

std::string itemOf(const ReplicaFingerprint &replica)
{
    return absl::StrCat("limit/", replica.value());
}

} // namespace

SendPermits::SendPermits(const Clock &clock, Timers &timers, ReplicaLimits &limits,
                         const VmDirectory &vms, Send send, std::uint64_t seed)
    : m_clock(clock)
    , m_timers(timers)
    , m_limits(limits)
    , m_vms(vms)
    , m_send(std::move(send))
    , m_issuer(clock, seed)
    , m_prospects(MaxProspects)
{ }

SendOutlook SendPermits::outlook(const ReplicaFingerprint &replica) const
{
    using Kind = SendOutlook::Kind;
    if (!m_limits.limitOf(replica).has_value()) {
        return {};
    }
    const Prospect *prospect = m_prospects.find(replica);
    if (prospect == nullptr) {
        return {Kind::Askable, {}};
    }
    const SteadyTime now = m_clock.now();
    if (now < prospect->expiresAt) {
        return {now >= prospect->opensAt ? Kind::Permitted : Kind::Awaited, prospect->opensAt};
    }
    if (prospect->question != 0 && now < prospect->askedAt + AnswerTimeout) {
        return {Kind::Awaited, now};
    }
    return {now >= prospect->askAgainAt ? Kind::Askable : Kind::Closed, prospect->askAgainAt};
}

void SendPermits::ask(const ReplicaFingerprint &replica, Duration maxDelay)
{
    const std::optional<RequestRate> limit = m_limits.limitOf(replica);
    if (!limit.has_value() || outlook(replica).kind != SendOutlook::Kind::Askable) {
        return;
    }
    Prospect &prospect = m_prospects.put(replica);
    prospect = {};
    prospect.askedAt = m_clock.now();
    const std::optional<Endpoint> issuer = m_vms.coordinatorFor(itemOf(replica));
    if (!issuer.has_value()) {
        apply(replica, issue(replica, *limit, maxDelay));
        return;
    }
    prospect.question = m_nextQuestion++;
    prospect.askAgainAt = m_clock.now() + AnswerTimeout + RetryPause;
    peers::SendPermitNote note;
    note.kind = peers::SendPermitNoteKind::QUESTION;
    note.id = prospect.question;
    note.limit = m_limits.newsOf(replica);
    note.delayMillis = static_cast<std::int32_t>(toMillis(maxDelay));
    m_send(*issuer, note);
}

SteadyTime SendPermits::use(const ReplicaFingerprint &replica)
{
    Prospect &prospect = m_prospects.put(replica);
    const SteadyTime expiresAt = prospect.expiresAt;
    prospect = {};
    return expiresAt;
}

SendPermitDecision SendPermits::issue(const ReplicaFingerprint &replica, RequestRate limit,
                                      Duration maxDelay)
{
    const double share = std::min(1.0, m_vms.shareInSight() / FullRateShare);
    return m_issuer.decide(replica, RequestRate(limit.value() * share), maxDelay);
}

void SendPermits::apply(const ReplicaFingerprint &replica, const SendPermitDecision &decision)
{
    Prospect &prospect = m_prospects.put(replica);
    prospect.question = 0;
    if (!decision.granted) {
        prospect.askAgainAt = m_clock.now() + decision.delay;
        return;
    }
    // The issuer counted the delay from the arrival of the question, which is not known here.
    prospect.opensAt = prospect.askedAt + decision.delay;
    prospect.expiresAt = prospect.opensAt + PermitValidity;
    prospect.askAgainAt = {};
    if (prospect.opensAt > m_clock.now()) {
        m_timers.after(prospect.opensAt - m_clock.now(), [this] { m_onChange(); });
    }
}

void SendPermits::receive(const Endpoint &from, const peers::SendPermitNote &note)
{
    m_limits.receive({note.limit});
    if (note.kind == peers::SendPermitNoteKind::QUESTION) {
        answerQuestion(from, note);
        return;
    }
    handleAnswer(note);
}

void SendPermits::answerQuestion(const Endpoint &from, const peers::SendPermitNote &question)
{
    const ReplicaFingerprint replica(question.limit.replica);
    peers::SendPermitNote answer;
    answer.kind = peers::SendPermitNoteKind::ANSWER;
    answer.id = question.id;
    answer.limit = m_limits.newsOf(replica);
    const std::optional<RequestRate> limit = m_limits.limitOf(replica);
    const bool issuesHere = !m_vms.coordinatorFor(itemOf(replica)).has_value();
    SendPermitDecision decision{false, RetryPause};
    if (limit.has_value() && issuesHere) {
        decision = issue(replica, *limit, Milliseconds(std::max(0, question.delayMillis)));
    }
    answer.granted = decision.granted;
    answer.delayMillis = static_cast<std::int32_t>(toMillis(decision.delay));
    m_send(from, answer);
}

void SendPermits::handleAnswer(const peers::SendPermitNote &note)
{
    const ReplicaFingerprint replica(note.limit.replica);
    const Prospect *prospect = m_prospects.find(replica);
    if (prospect == nullptr || prospect->question != note.id) {
        return;
    }
    apply(replica, {note.granted, Milliseconds(std::max(0, note.delayMillis))});
    m_onChange();
}

} // namespace boragepath
