#include "control/call_scheduler.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace boragepath {

namespace {

/** A limit in log lines, in requests per second; "-" if there is none. */
std::string limitText(const std::optional<RequestRate> &limit)
{
    return limit.has_value() ? absl::StrCat(limit->value()) : "-";
}

std::string_view kindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Idempotent:
        return "idempotent";
    case RequestKind::NonIdempotent:
        return "non-idempotent";
    case RequestKind::Stream:
        return "stream";
    }
    return "unknown";
}

} // namespace

void CallScheduler::logCutCalls() const
{
    const SteadyTime now = m_dependencies.clock.now();
    for (const auto &[handle, call] : m_calls) {
        if (!call.currentReplica.has_value()) {
            continue;
        }
        LogLine line("cut");
        line.add("request", call.incoming.attempt.value())
            .add("ms", toMillis(now - call.openedAt))
            .add("attempt", call.dispatches)
            .add("replica", call.currentReplica->value())
            .add("route", call.route->name)
            .add("kind", std::string(kindName(call.route->kind)))
            .add("left_ms", toMillis(call.deadline - now));
        addStopDetails(call, line);
        line.info();
    }
}

void CallScheduler::addStopDetails(const Call &call, LogLine &line) const
{
    if (m_stop.has_value()) {
        line.add("after_stop_ms", toMillis(call.openedAt - m_stop->startedAt));
    }
}

void CallScheduler::logLimit(const ReplicaEntry &replica, const AttemptId &attempt,
                             std::string_view outcome) const
{
    const std::optional<RequestRate> limit =
        m_dependencies.limits.limitOf(fingerprintOf(incarnationOf(replica)));
    LogLine("replica")
        .add("replica", replica.id.value())
        .add("service", replica.service.value())
        .add("started_at", replica.startedAtMillis)
        .add("request", attempt.value())
        .add("limit", limitText(limit))
        .add("outcome", std::string(outcome))
        .info();
}

void CallScheduler::logQuarantine(const RequestFingerprint &request, bool quarantined) const
{
    const CrashEvidence *evidence = m_dependencies.quarantine.evidenceOf(request);
    std::vector<std::string> crashes;
    for (const RequestCrash &crash : evidence->crashes) {
        crashes.push_back(absl::StrCat(crash.replica.value(), crash.atBeginning ? "!" : "", ":",
                                       toMillis(m_dependencies.clock.now() - crash.at)));
    }
    LogLine("quarantine")
        .add("fingerprint", request.text())
        .add("replicas_ms_ago", absl::StrJoin(crashes, ","))
        .add("outcome", quarantined ? "quarantined" : "released")
        .info();
}

void CallScheduler::logFailedAttempt(const Call &call, const ReplicaObservation &observation) const
{
    LogLine("attempt")
        .add("request", call.incoming.attempt.value())
        .add("replica", call.currentReplica->value())
        .add("version", call.attemptedReplicas.back().entry.softwareVersion.value())
        .add("limit", limitText(call.attemptedReplicas.back().limit))
        .add("outcome", observation.failureReason)
        .add("status", static_cast<std::int64_t>(observation.status))
        .add("fingerprint", call.incoming.identity.request.text())
        .add("target", call.incoming.identity.target.text())
        .add("replica_ended", observation.replicaEnded)
        .add("attempt", call.dispatches)
        .add("events", observation.eventsForwarded)
        .info();
}

void CallScheduler::addRefusalDetails(const Call &call, CallRefusalReason reason,
                                      LogLine &line) const
{
    switch (reason) {
    case CallRefusalReason::StoreUnavailable:
        line.add("store_silent_ms", toMillis(m_dependencies.health.timeSinceAnswer()));
        break;
    case CallRefusalReason::UnknownTurn:
        line.add("previous", call.incoming.previousTurn.value());
        break;
    case CallRefusalReason::BudgetExhausted:
        line.add("budget", call.incoming.tokenBudget.value_or(0))
            .add("most", call.incoming.maxTurnTokens);
        break;
    case CallRefusalReason::NoReplica:
    case CallRefusalReason::ReplicasLimited:
    case CallRefusalReason::StreamVersionUnknown:
    case CallRefusalReason::StreamVersionGone:
    case CallRefusalReason::StreamOutputUnknown:
        line.add("service", call.service.value())
            .add("replicas_known",
                 static_cast<std::int64_t>(m_dependencies.replicas.usable(call.service).size()))
            .add("registry_age_ms", toMillis(m_dependencies.replicas.registryAge()));
        break;
    case CallRefusalReason::NoRoute:
        line.add("host", call.incoming.host);
        break;
    case CallRefusalReason::KeysUnconfirmed:
        line.add("configuration_age_ms",
                 toMillis(m_dependencies.lease.age().value_or(Duration::zero())));
        break;
    case CallRefusalReason::OverQuota:
        line.add("quota_per_s", absl::StrCat(call.organisation->quota.rate.value()))
            .add("begins_program", mayBeFirstCall(call))
            .add("retry_after_ms", toMillis(call.quotaDelay));
        break;
    case CallRefusalReason::Overloaded:
        line.add("service", call.service.value())
            .add("waiting", static_cast<std::int64_t>(loadOf(call.service).waitingCalls))
            .add("utilization", absl::StrCat(loadOf(call.service).utilization.mean));
        break;
    case CallRefusalReason::NoConfiguration:
    case CallRefusalReason::BadCall:
    case CallRefusalReason::DeadlineExceeded:
    case CallRefusalReason::Quarantined:
    case CallRefusalReason::UnknownKey:
    case CallRefusalReason::Stopping:
        break;
    }
}

void CallScheduler::addPlacementDetails(const Call &call, LogLine &line)
{
    std::vector<std::string> replicas;
    std::vector<std::string> versions;
    std::vector<std::string> limits;
    for (const AttemptedReplica &attempted : call.attemptedReplicas) {
        replicas.push_back(attempted.entry.id.value());
        versions.push_back(attempted.entry.softwareVersion.value());
        limits.push_back(limitText(attempted.limit));
    }
    line.add("replicas", absl::StrJoin(replicas, ","))
        .add("versions", absl::StrJoin(versions, ","))
        .add("limits", absl::StrJoin(limits, ","))
        .add("own", call.placement.ownRequests)
        .add("reported", call.placement.reportedRequests)
        .add("waited_ms", toMillis(call.queueTime))
        .add("report_age_ms", toMillis(call.placement.reportAge));
    if (call.placement.pace.has_value() && call.placement.paceAge.has_value()) {
        line.add("pace", call.placement.pace->value())
            .add("pace_age_ms", toMillis(*call.placement.paceAge));
    }
}

void CallScheduler::logCompletion(const Call &call, const CallCompletion &completion) const
{
    LogLine line("call");
    line.add("request", call.incoming.attempt.value())
        .add("program", call.incoming.program.value())
        .add("fingerprint", call.incoming.identity.request.text())
        .add("target", call.incoming.identity.target.text())
        .add("outcome", completion.outcome)
        .add("status", static_cast<std::int64_t>(completion.status))
        .add("ms", toMillis(m_dependencies.clock.now() - call.openedAt));
    if (call.route != nullptr) {
        line.add("route", call.route->name)
            .add("configuration", call.table->version.value())
            .add("left_ms", toMillis(call.deadline - m_dependencies.clock.now()));
    }
    addStopDetails(call, line);
    if (call.organisation != nullptr) {
        line.add("organisation", call.organisation->id.value());
    }
    if (call.incoming.resumption.has_value()) {
        line.add("resumes", call.incoming.resumption->firstAttempt.value())
            .add("after_event", call.incoming.resumption->lastEventId)
            .add("began_at",
                 call.streamOrigin.has_value() ? call.streamOrigin->version.value() : "")
            .add("began_at_known", std::string(originSourceName(call.originSource)));
    }
    if (!call.attemptedReplicas.empty()) {
        addPlacementDetails(call, line);
    }
    if (completion.refusal.has_value()) {
        addRefusalDetails(call, *completion.refusal, line);
    }
    line.info();
}

} // namespace boragepath
