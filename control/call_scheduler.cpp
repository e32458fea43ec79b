#include "control/call_scheduler.h"

#include "control/admission/call_authorization.h"
#include "control/admission/program_admission.h"
#include "core/hash.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace boragepath {

namespace {

/** Timeout of calls that state none; a shorter timeout of the route applies as well. */
constexpr Milliseconds DefaultTimeout{30'000};
/** After waiting this long for the store, a turn is refused so that its caller can try another VM.
 */
constexpr Milliseconds MaxStoreWait{1'200};
/** About the time in which a replica frees a slot. */
constexpr Milliseconds ReplicaRetryAfter{150};
/** Callers that are refused because of limits come back over this time. */
constexpr Milliseconds LimitRetrySpread{400};
/** An outage of the store lasts seconds; an earlier retry would fail again. */
constexpr Milliseconds StoreRetryAfter{1'500};
constexpr Milliseconds ConfigurationRetryAfter{300};
/** A quarantined request is served again by new software of the replicas, if at all. */
constexpr Milliseconds QuarantineRetryAfter{60'000};
/** Replicas may decline a call, so up to this many are tried before it is refused. */
constexpr int MaxDispatches = 4;
/** Longest wait for a slot; callers abandon a stream after about two and a half seconds without an
 * event. */
constexpr Milliseconds MaxQueueTime{1'500};
/** A free slot is noticed within this time; turns take some hundred milliseconds. */
constexpr Milliseconds QueueCheckInterval{5};
/** A VM that lost power leaves its connections open at the replicas. The share of each VM allows
 * for these and for those of the restarted process. */
constexpr std::int64_t ConnectionGenerations = 2;
/** Objects whose replica a VM remembers; they take some hundred kilobytes. */
constexpr std::size_t MaxRememberedObjects = 2'000;
/** Replicas of which it is remembered that their limits cannot be read, so that it is logged once.
 */
constexpr std::size_t MaxUnreadableLimits = 1'000;
/** Shares set aside for VMs that are added while connections are open. */
constexpr std::size_t SpareVmShares = 2;

Milliseconds retryDelayFor(CallRefusalReason reason)
{
    switch (reason) {
    case CallRefusalReason::NoConfiguration:
        return ConfigurationRetryAfter;
    case CallRefusalReason::StoreUnavailable:
    case CallRefusalReason::KeysUnconfirmed:
        return StoreRetryAfter;
    case CallRefusalReason::NoReplica:
    case CallRefusalReason::ReplicasLimited:
    case CallRefusalReason::DeadlineExceeded:
        return ReplicaRetryAfter;
    case CallRefusalReason::Quarantined:
        return QuarantineRetryAfter;
    case CallRefusalReason::Stopping:
        return StopRetryAfter;
    case CallRefusalReason::NoRoute:
    case CallRefusalReason::BadCall:
    case CallRefusalReason::BudgetExhausted:
    case CallRefusalReason::UnknownTurn:
    case CallRefusalReason::StreamVersionUnknown:
    case CallRefusalReason::StreamVersionGone:
    case CallRefusalReason::StreamOutputUnknown:
    case CallRefusalReason::UnknownKey:
    case CallRefusalReason::OverQuota:
    case CallRefusalReason::Overloaded:
        break;
    }
    return Milliseconds(0);
}

} // namespace

std::string_view refusalReasonName(CallRefusalReason reason)
{
    switch (reason) {
    case CallRefusalReason::NoConfiguration:
        return "no-configuration";
    case CallRefusalReason::NoRoute:
        return "no-route";
    case CallRefusalReason::BadCall:
        return "bad-call";
    case CallRefusalReason::BudgetExhausted:
        return "budget-spent";
    case CallRefusalReason::UnknownTurn:
        return "unknown-turn";
    case CallRefusalReason::StoreUnavailable:
        return "store-away";
    case CallRefusalReason::NoReplica:
        return "no-replica";
    case CallRefusalReason::ReplicasLimited:
        return "replicas-limited";
    case CallRefusalReason::DeadlineExceeded:
        return "out-of-time";
    case CallRefusalReason::StreamVersionUnknown:
        return "version-unknown";
    case CallRefusalReason::StreamVersionGone:
        return "version-gone";
    case CallRefusalReason::StreamOutputUnknown:
        return "output-unknown";
    case CallRefusalReason::Quarantined:
        return "quarantined";
    case CallRefusalReason::UnknownKey:
        return "unknown-key";
    case CallRefusalReason::KeysUnconfirmed:
        return "keys-unconfirmed";
    case CallRefusalReason::OverQuota:
        return "over-quota";
    case CallRefusalReason::Overloaded:
        return "overloaded";
    case CallRefusalReason::Stopping:
        return "stopping";
    }
    return "unknown";
}

CallScheduler::CallScheduler(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_objects(MaxRememberedObjects)
    , m_unreadableLimits(MaxUnreadableLimits)
    , m_placement({m_dependencies.clock, m_dependencies.replicas, m_dependencies.limits,
                   m_dependencies.permits, m_dependencies.vms})
{
    m_dependencies.permits.onChange([this] { dispatchQueued(); });
    m_dependencies.quarantine.onChange([this](const RequestFingerprint &request, bool quarantined) {
        logQuarantine(request, quarantined);
    });
    m_dependencies.quarantine.onReplicaEnded(
        [this](const ReplicaFingerprint &replica) { m_dependencies.replicas.markEnded(replica); });
}

bool CallScheduler::setRouteTable(std::shared_ptr<const RouteTable> table)
{
    if (m_table != nullptr && table->version <= m_table->version) {
        return false;
    }
    m_table = std::move(table);
    return true;
}

std::optional<CallRefusalReason> CallScheduler::resolveRoute(Call &call) const
{
    if (m_table == nullptr) {
        return CallRefusalReason::NoConfiguration;
    }
    call.table = m_table;
    call.route = matchRoute(*m_table, call.incoming.host, call.incoming.path);
    if (call.route == nullptr || call.route->services.empty()) {
        return CallRefusalReason::NoRoute;
    }
    Milliseconds timeout = call.incoming.callerTimeout.value_or(DefaultTimeout);
    if (call.route->timeout.count() > 0) {
        timeout = std::min(timeout, call.route->timeout);
    }
    call.deadline = call.openedAt + timeout;
    const CallAuthorization authorization =
        authorizeCall(*m_table, *call.route, call.incoming.key, m_dependencies.lease.isValid());
    switch (authorization.result) {
    case CallAuthorization::Result::Authorized:
        break;
    case CallAuthorization::Result::UnknownKey:
        return CallRefusalReason::UnknownKey;
    case CallAuthorization::Result::KeysUnconfirmed:
        return CallRefusalReason::KeysUnconfirmed;
    }
    call.organisation = authorization.organisation;
    call.incoming.identity = ofCaller(call.incoming.identity, organisationOf(call).value());
    call.service = chooseService(*call.route, programOf(call).value());
    return std::nullopt;
}

void CallScheduler::open(const IncomingCall &incoming,
                         std::function<void(const CallDecision &)> done)
{
    Call call;
    call.incoming = incoming;
    call.openedAt = m_dependencies.clock.now();
    call.done = std::move(done);
    const CallHandle handle(m_nextHandle++);
    const std::optional<CallRefusalReason> refusal = resolveRoute(call);
    Call &opened = m_calls[handle] = std::move(call);
    if (refusal.has_value()) {
        refuse(handle, *refusal);
        return;
    }
    if (const auto reason = reasonNotToSend(opened); reason.has_value()) {
        refuse(handle, *reason);
        return;
    }
    if (opened.organisation != nullptr && opened.organisation->quota.isLimited()) {
        claimQuota(handle);
        return;
    }
    findOriginOrPrepare(handle);
}

void CallScheduler::prepare(CallHandle handle)
{
    const Call &call = m_calls[handle];
    if (call.route->storesTurns && !call.incoming.previousTurn.value().empty()) {
        loadHistory(handle);
        return;
    }
    reserveBudget(handle);
}

void CallScheduler::loadHistory(CallHandle handle)
{
    Call &call = m_calls[handle];
    const SteadyTime until = std::min(call.deadline, call.openedAt + MaxStoreWait);
    m_dependencies.turns.find(
        storedTurn(call, call.incoming.previousTurn), until,
        [this, handle](TurnLookup lookup, const ConversationSnapshotPtr &snapshot) {
            if (lookup == TurnLookup::Absent) {
                refuse(handle, CallRefusalReason::UnknownTurn);
                return;
            }
            if (lookup == TurnLookup::StoreUnavailable) {
                refuse(handle, CallRefusalReason::StoreUnavailable);
                return;
            }
            m_calls[handle].history = snapshot;
            reserveBudget(handle);
        });
}

void CallScheduler::reserveBudget(CallHandle handle)
{
    Call &call = m_calls[handle];
    const IncomingCall &incoming = call.incoming;
    if (!incoming.tokenBudget.has_value() && !call.route->storesTurns) {
        dispatch(handle);
        return;
    }
    // A turn that will be stored needs a reservation even if its program has no budget.
    const std::int64_t budget = incoming.tokenBudget.value_or(NoTokenBudget);
    ReservationRequest claim{programOf(call), storedTurn(call, incoming.attempt), budget,
                             incoming.maxTurnTokens};
    claim.mayBorrow = !call.route->storesTurns && incoming.tokenBudget.has_value();
    const SteadyTime until = std::min(call.deadline, call.openedAt + MaxStoreWait);
    const auto decide = [this, handle](ReservationResult reservation,
                                       const ReplicaId &promptReplica) {
        if (reservation == ReservationResult::BudgetExhausted) {
            refuse(handle, CallRefusalReason::BudgetExhausted);
            return;
        }
        if (reservation == ReservationResult::StoreUnavailable) {
            refuse(handle, CallRefusalReason::StoreUnavailable);
            return;
        }
        m_calls[handle].budgetReserved = true;
        m_calls[handle].promptReplica = promptReplica;
        dispatch(handle);
    };
    m_dependencies.ledger.reserve(claim, incoming.session, until, decide);
}

std::int64_t CallScheduler::connectionShare(const PoolName &service) const
{
    const auto found = m_table->services.find(service);
    if (found == m_table->services.end() || found->second.maxConnections <= 0) {
        return std::numeric_limits<std::int64_t>::max();
    }
    const auto vms =
        static_cast<std::int64_t>(m_dependencies.vms.vmCountForLimits() + SpareVmShares);
    return std::max<std::int64_t>(1, found->second.maxConnections / (vms * ConnectionGenerations));
}

std::optional<PlacementRequest> CallScheduler::placementRequest(const Call &call) const
{
    if (call.dispatches >= MaxDispatches) {
        return std::nullopt;
    }
    PlacementRequest request;
    if (call.streamOrigin.has_value()) {
        if (!m_dependencies.streams.isCertain(*call.streamOrigin)) {
            return std::nullopt;
        }
        request.requiredVersion = call.streamOrigin->version;
    }
    request.service = call.service;
    request.excludedReplicas = call.triedReplicas;
    request.zone = m_dependencies.zone;
    request.spreadKey = call.incoming.attempt.value();
    request.maxOwnRequests = connectionShare(call.service);
    if (isPlacedByObject(call)) {
        request.warmState = WarmState::Object;
        request.affinityKey = call.incoming.object;
        request.warmReplica = m_objects.find(call.service, call.incoming.object);
    } else if (call.route->hasPrompt()) {
        request.affinityKey = programOf(call).value();
        request.warmReplica = call.promptReplica;
    }
    return request;
}

const ReplicaState *CallScheduler::findReadyReplica(Call &call)
{
    const std::optional<PlacementRequest> request = placementRequest(call);
    call.permitSearch.underWay = isUnderWay(call);
    return request.has_value() ? m_placement.findReady(*request, call.permitSearch) : nullptr;
}

bool CallScheduler::isUnderWay(const Call &call)
{
    return !call.promptReplica.value().empty() || call.streamOrigin.has_value();
}

bool CallScheduler::isPlacedByObject(const Call &call)
{
    return call.route->hasAffinity && !call.route->hasPrompt() && !call.incoming.object.empty();
}

void CallScheduler::dispatch(CallHandle handle)
{
    Call &call = m_calls[handle];
    if (m_dependencies.clock.now() >= call.deadline) {
        refuse(handle, CallRefusalReason::DeadlineExceeded);
        return;
    }
    if (const auto reason = reasonNotToSend(call); reason.has_value()) {
        refuse(handle, *reason);
        return;
    }
    const ServiceLoad load = loadOf(call.service);
    if (beginsProgram(call) && !mayBeginProgram(load, m_dependencies.clock.now())) {
        refuse(handle, CallRefusalReason::Overloaded);
        return;
    }
    if (m_queue.empty()) {
        m_placement.beginRound();
    }
    // A free slot belongs to a call that waits for it, in the order of the queue.
    const ReplicaState *replica = load.waitingCalls == 0 ? findReadyReplica(call) : nullptr;
    if (replica != nullptr) {
        dispatchTo(call, handle, *replica);
        return;
    }
    const QueuedCall queued = makeQueuedCall(handle, call);
    if (isHopeless(queued, 0)) {
        refuse(handle, noReplicaReason(call));
        return;
    }
    m_queue.push_back(queued);
    scheduleQueueCheck();
}

bool CallScheduler::isHopeless(const QueuedCall &item, std::size_t callsAhead) const
{
    const Call &call = m_calls.at(item.handle);
    const SteadyTime latest = std::min(item.queuedAt + MaxQueueTime, call.deadline);
    const std::optional<PlacementRequest> request = placementRequest(call);
    const std::optional<SteadyTime> earliest =
        request.has_value() ? m_placement.earliestService(*request) : std::nullopt;
    if (!earliest.has_value() || *earliest > latest || m_dependencies.clock.now() >= latest) {
        return true;
    }
    const std::optional<Duration> wait = m_placement.expectedWait(call.service, callsAhead);
    return wait.has_value() && m_dependencies.clock.now() + *wait > latest;
}

QueuedCall CallScheduler::makeQueuedCall(CallHandle handle, const Call &call) const
{
    QueuedCall queued;
    queued.handle = handle;
    queued.service = call.service;
    queued.programDeadline = call.incoming.programDeadline;
    const bool hasOwnPriority =
        call.organisation != nullptr && call.organisation->priority.has_value();
    queued.priority = hasOwnPriority ? *call.organisation->priority : call.route->priority;
    queued.programStarted = isUnderWay(call);
    queued.fitsAnyReplica = !call.streamOrigin.has_value() && call.triedReplicas.empty();
    queued.queuedAt = m_dependencies.clock.now();
    return queued;
}

void CallScheduler::scheduleQueueCheck()
{
    if (m_queueCheckScheduled || m_queue.empty()) {
        return;
    }
    m_queueCheckScheduled = true;
    m_dependencies.timers.after(QueueCheckInterval, [this] {
        m_queueCheckScheduled = false;
        dispatchQueued();
        scheduleQueueCheck();
    });
}

void CallScheduler::dispatchQueued()
{
    const SteadyTime now = m_dependencies.clock.now();
    std::vector<QueuedCall> queued = std::move(m_queue);
    m_queue.clear();
    m_placement.beginRound();
    sortCallQueue(queued, now);
    std::map<PoolName, std::size_t> waiting;
    std::vector<QueuedCall> stillQueued;
    for (QueuedCall &item : queued) {
        Call &call = m_calls[item.handle];
        call.queueTime = now - item.queuedAt;
        if (const auto reason = reasonNotToSend(call); reason.has_value()) {
            refuse(item.handle, *reason);
            continue;
        }
        const bool inTime = now < call.deadline;
        const ReplicaState *replica = inTime ? findReadyReplica(call) : nullptr;
        if (replica != nullptr) {
            dispatchTo(call, item.handle, *replica);
        } else if (isHopeless(item, waiting[item.service])) {
            refuse(item.handle, noReplicaReason(call));
        } else {
            waiting[item.service] += 1;
            stillQueued.push_back(std::move(item));
        }
    }
    m_queue.insert(m_queue.end(), stillQueued.begin(), stillQueued.end());
}

void CallScheduler::dispatchTo(Call &call, CallHandle handle, const ReplicaState &replica)
{
    CallDispatch result;
    result.handle = handle;
    result.table = call.table;
    result.route = call.route;
    result.replica = replica.entry;
    if (call.organisation != nullptr) {
        result.organisation = call.organisation->id;
    }
    const auto service = call.table->services.find(call.service);
    result.tokensPerEvent =
        service == call.table->services.end() ? 0 : service->second.tokensPerEvent;
    result.history = call.history == nullptr ? nullptr : call.history->text;
    result.deadline = call.deadline;
    call.dispatches += 1;
    call.triedReplicas.insert(replica.entry.id);
    result.replicaLimit = m_dependencies.limits.limitOf(replica.fingerprint);
    if (result.replicaLimit.has_value()) {
        result.sendBefore = m_dependencies.permits.use(replica.fingerprint);
    }
    if (m_stop.has_value()) {
        result.sendBefore =
            std::min(result.sendBefore.value_or(m_stop->callsEnd), m_stop->callsEnd);
    }
    call.attemptedReplicas.push_back(
        {replica.entry, result.replicaLimit, m_dependencies.clock.now()});
    call.currentReplica = replica.entry.id;
    call.lastReplica = replica.entry.id;
    call.placement = placementInputs(replica, m_dependencies.clock.now());
    m_dependencies.replicas.beginRequest(replica.entry.id);
    call.done(result);
}

void CallScheduler::refuse(CallHandle handle, CallRefusalReason reason)
{
    Call &call = m_calls[handle];
    const auto done = std::move(call.done);
    if (call.dispatches > 0) {
        // The caller's connection knows whether the call may have run, and closes it.
        call.done = done;
        done(CallRefusal{reason, retryDelay(call, reason)});
        return;
    }
    const CallRefusal refusal{reason, retryDelay(call, reason)};
    CallCompletion completion;
    completion.refusal = reason;
    completion.outcome = std::string(refusalReasonName(reason));
    close(handle, completion, [](bool) {});
    done(refusal);
}

Milliseconds CallScheduler::retryDelay(const Call &call, CallRefusalReason reason) const
{
    if (reason == CallRefusalReason::OverQuota) {
        return std::max(std::chrono::ceil<Milliseconds>(call.quotaDelay), Milliseconds(1));
    }
    if (reason == CallRefusalReason::Overloaded) {
        return programRetryDelay(programOf(call).value());
    }
    if (reason != CallRefusalReason::ReplicasLimited) {
        return retryDelayFor(reason);
    }
    const SteadyTime now = m_dependencies.clock.now();
    const std::optional<PlacementRequest> request = placementRequest(call);
    const std::optional<SteadyTime> earliest =
        request.has_value() ? m_placement.earliestService(*request) : std::nullopt;
    const Duration untilService = earliest.value_or(now) - now;
    // Callers that were refused at the same moment come back one after the other.
    const auto spread = Milliseconds(hashOf(call.incoming.attempt.value())
                                     % static_cast<std::uint64_t>(LimitRetrySpread.count()));
    return std::chrono::duration_cast<Milliseconds>(untilService) + ReplicaRetryAfter + spread;
}

void CallScheduler::releaseReplica(Call &call, const ReplicaObservation &observation)
{
    if (!call.currentReplica.has_value()) {
        return;
    }
    if (observation.outcome != ReplicaObservation::Outcome::Served) {
        logFailedAttempt(call, observation);
    }
    if (observation.noLimitSince.has_value()) {
        noteReplicaLimit(call.attemptedReplicas.back().entry, call.incoming.attempt, {},
                         *observation.noLimitSince);
    }
    m_dependencies.replicas.endRequest(*call.currentReplica, observation);
    if (observation.replicaEnded) {
        noteReplicaCrash(call, observation);
    }
    call.currentReplica.reset();
}

void CallScheduler::noteReplicaCrash(const Call &call, const ReplicaObservation &observation)
{
    const AttemptedReplica &attempted = call.attemptedReplicas.back();
    const ReplicaFingerprint replica = fingerprintOf(incarnationOf(attempted.entry));
    m_dependencies.replicas.markEnded(replica);
    const ReplicaState *known = m_dependencies.replicas.find(*call.currentReplica);
    const bool isPlanned = known == nullptr || known->fingerprint != replica || known->leaving
        || known->entry.draining || known->removeAt.has_value();
    if (isPlanned) {
        return;
    }
    m_dependencies.quarantine.noteCrash(
        call.incoming.identity,
        {replica, attempted.dispatchedAt, m_dependencies.clock.now(), observation.atBeginning});
}

void CallScheduler::retryOnOtherReplica(CallHandle handle, const ReplicaObservation &observation,
                                        std::function<void(const CallDecision &)> done)
{
    Call &call = m_calls[handle];
    releaseReplica(call, observation);
    call.done = std::move(done);
    dispatch(handle);
}

void CallScheduler::noteReplicaLeaving(const ReplicaEntry &replica, const AttemptId &attempt)
{
    if (!m_dependencies.replicas.markLeaving(incarnationOf(replica))) {
        return;
    }
    LogLine("replica")
        .add("replica", replica.id.value())
        .add("service", replica.service.value())
        .add("version", replica.softwareVersion.value())
        .add("started_at", replica.startedAtMillis)
        .add("request", attempt.value())
        .add("outcome", "leaving")
        .info();
}

void CallScheduler::noteReplicaLimit(const ReplicaEntry &replica, const AttemptId &attempt,
                                     const LimitStatement &statement, SteadyTime sentAt)
{
    if (statement.kind == LimitStatement::Kind::Unreadable) {
        if (m_unreadableLimits.find(incarnationOf(replica)) == nullptr) {
            m_unreadableLimits.put(incarnationOf(replica)) = true;
            logLimit(replica, attempt, "limit-unreadable");
        }
        return;
    }
    if (m_dependencies.limits.noteAnswer(fingerprintOf(incarnationOf(replica)), statement,
                                         sentAt)) {
        logLimit(replica, attempt,
                 statement.kind == LimitStatement::Kind::Limited ? "limited" : "limit-ended");
    }
}

void CallScheduler::noteReplicaReport(const ReplicaEntry &replica, const ReportedLoad &report,
                                      SteadyTime readAt)
{
    recordReport(m_utilizations[replica.service], report.running + report.waiting, replica.slots,
                 readAt);
    if (report.pace.has_value()) {
        m_dependencies.replicas.notePace(incarnationOf(replica), *report.pace, readAt);
    }
}

void CallScheduler::endReplicaAttempt(CallHandle handle, const ReplicaObservation &observation)
{
    releaseReplica(m_calls[handle], observation);
}

void CallScheduler::close(CallHandle handle, const CallCompletion &completion,
                          std::function<void(bool)> done)
{
    const auto found = m_calls.find(handle);
    Call call = std::move(found->second);
    m_calls.erase(found);
    releaseReplica(call, ReplicaObservation());
    logCompletion(call, completion);
    if (call.quotaGranted && call.dispatches == 0) {
        m_dependencies.quotas.giveBack(call.organisation->id, call.incoming.program);
    }
    if (completion.answerComplete) {
        m_dependencies.quarantine.noteAnswered(call.incoming.identity);
    }
    if (call.budgetReserved) {
        const PromptLocation location{call.incoming.session,
                                      completion.answerComplete ? call.lastReplica : ReplicaId()};
        m_dependencies.ledger.settle(
            {programOf(call), storedTurn(call, call.incoming.attempt), completion.tokens},
            location);
    }
    if (call.route != nullptr && completion.answerComplete && isPlacedByObject(call)) {
        m_objects.note(call.service, call.incoming.object, call.lastReplica);
    }
    if (call.route != nullptr && call.route->storesTurns && completion.answerComplete) {
        storeTurn(call, completion, std::move(done));
        return;
    }
    done(true);
}

void CallScheduler::storeTurn(const Call &call, const CallCompletion &completion,
                              std::function<void(bool)> done)
{
    std::string text = call.history == nullptr ? std::string() : *call.history->text;
    text += call.incoming.input == nullptr ? std::string() : *call.incoming.input;
    text += call.earlier.text;
    text += completion.output;
    const auto answered = std::make_shared<bool>(false);
    const auto answerOnce = [answered, done = std::move(done)](bool recorded) {
        if (!*answered) {
            *answered = true;
            done(recorded);
        }
    };
    m_dependencies.timers.after(call.deadline - m_dependencies.clock.now(),
                                [answerOnce] { answerOnce(false); });
    m_dependencies.turns.record(storedTurn(call, call.incoming.attempt), call.history,
                                std::move(text), call.route->turnRetention,
                                [answerOnce] { answerOnce(true); });
}

} // namespace boragepath
