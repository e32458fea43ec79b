#include "control/admission/scoped_ids.h"
#include "control/call_scheduler.h"

#include <algorithm>

namespace boragepath {

namespace {

/** A call waits this long for its organisation's quota; a longer wait would make most turns late.
 */
constexpr Milliseconds MaxQuotaWait{150};

} // namespace

bool CallScheduler::isScoped(const Call &call)
{
    return call.table != nullptr && call.table->organisations.has_value();
}

OrganisationId CallScheduler::organisationOf(const Call &call)
{
    // Calls without a key share the empty id, so that they can't name what an organisation stores.
    return call.organisation == nullptr ? OrganisationId() : call.organisation->id;
}

ProgramId CallScheduler::programOf(const Call &call)
{
    const IncomingCall &incoming = call.incoming;
    const ProgramId program =
        incoming.program.value().empty() ? ProgramId(incoming.attempt.value()) : incoming.program;
    return isScoped(call) ? scopedProgram(program, organisationOf(call)) : program;
}

AttemptId CallScheduler::storedTurn(const Call &call, const AttemptId &turn)
{
    return isScoped(call) ? scopedTurn(turn, organisationOf(call)) : turn;
}

bool CallScheduler::mayBeFirstCall(const Call &call)
{
    const bool isFirstTurn =
        call.route->kind == RequestKind::Stream && call.incoming.previousTurn.value().empty();
    return isFirstTurn && !call.incoming.resumption.has_value()
        && !call.incoming.program.value().empty();
}

bool CallScheduler::beginsProgram(const Call &call)
{
    return mayBeFirstCall(call) && call.dispatches == 0 && !isUnderWay(call);
}

void CallScheduler::claimQuota(CallHandle handle)
{
    const Call &call = m_calls[handle];
    QuotaClaim claim;
    claim.organisation = call.organisation->id;
    claim.quota = call.organisation->quota;
    claim.program = call.incoming.program;
    claim.mayBegin = mayBeFirstCall(call);
    claim.maxWait = std::min<Duration>(MaxQuotaWait, call.deadline - m_dependencies.clock.now());
    m_dependencies.quotas.claim(claim, [this, handle](const QuotaDecision &decision) {
        Call &claimed = m_calls[handle];
        if (!decision.granted) {
            claimed.quotaDelay = decision.delay;
            refuse(handle, CallRefusalReason::OverQuota);
            return;
        }
        claimed.quotaGranted = true;
        findOriginOrPrepare(handle);
    });
}

std::optional<CallRefusalReason> CallScheduler::reasonNotToSend(const Call &call)
{
    if (!isAdmitted(call)) {
        return CallRefusalReason::Quarantined;
    }
    if (m_stop.has_value() && !mayPassOn(*m_stop, m_dependencies.clock.now(), call.deadline)) {
        return CallRefusalReason::Stopping;
    }
    return keyProblem(call);
}

std::optional<CallRefusalReason> CallScheduler::keyProblem(const Call &call) const
{
    const bool isUnchanged = call.organisation == nullptr || call.table == m_table
        || !m_table->organisations.has_value();
    if (isUnchanged) {
        return std::nullopt;
    }
    const Organisation *holder = m_table->organisations->findByKey(*call.incoming.key);
    if (holder == nullptr) {
        return CallRefusalReason::UnknownKey;
    }
    // The key now belongs to another organisation: a retry of the caller is resolved with the new
    // table, so the call is refused as retryable.
    return holder->id == call.organisation->id ? std::nullopt
                                               : std::optional(CallRefusalReason::KeysUnconfirmed);
}

bool CallScheduler::hasLimitedReplica(const PoolName &service) const
{
    const std::vector<const ReplicaState *> replicas = m_dependencies.replicas.usable(service);
    return std::any_of(replicas.begin(), replicas.end(), [this](const ReplicaState *replica) {
        return m_dependencies.limits.limitOf(replica->fingerprint).has_value();
    });
}

ServiceLoad CallScheduler::loadOf(const PoolName &service) const
{
    ServiceLoad load;
    const auto utilization = m_utilizations.find(service);
    if (utilization != m_utilizations.end()) {
        load.utilization = utilization->second;
    }
    // Calls that wait for a permit leave the other replicas to the rest.
    if (m_queue.empty() || hasLimitedReplica(service)) {
        return load;
    }
    for (const QueuedCall &item : m_queue) {
        load.waitingCalls += item.service == service && item.fitsAnyReplica ? 1 : 0;
    }
    return load;
}

CallRefusalReason CallScheduler::noReplicaReason(const Call &call) const
{
    bool isVersionGone = call.streamOrigin.has_value();
    bool allLimited = true;
    for (const ReplicaState *replica : m_dependencies.replicas.usable(call.service)) {
        if (call.streamOrigin.has_value()
            && replica->entry.softwareVersion != call.streamOrigin->version) {
            continue;
        }
        isVersionGone = false;
        allLimited = allLimited && m_dependencies.limits.limitOf(replica->fingerprint).has_value();
    }
    if (isVersionGone) {
        return CallRefusalReason::StreamVersionGone;
    }
    const bool hasReplica = !m_dependencies.replicas.usable(call.service).empty();
    return hasReplica && allLimited ? CallRefusalReason::ReplicasLimited
                                    : CallRefusalReason::NoReplica;
}

bool CallScheduler::isAdmitted(const Call &call)
{
    return m_dependencies.quarantine.admits(call.incoming.identity, call.incoming.attempt);
}

} // namespace boragepath
