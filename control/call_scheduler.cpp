#include "control/call_scheduler.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

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
/** An outage of the store lasts seconds; an earlier retry would fail again. */
constexpr Milliseconds StoreRetryAfter{1'500};
constexpr Milliseconds ConfigurationRetryAfter{300};
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
        return StoreRetryAfter;
    case CallRefusalReason::NoReplica:
    case CallRefusalReason::DeadlineExceeded:
        return ReplicaRetryAfter;
    case CallRefusalReason::NoRoute:
    case CallRefusalReason::BadCall:
    case CallRefusalReason::BudgetExhausted:
    case CallRefusalReason::UnknownTurn:
    case CallRefusalReason::StreamVersionUnknown:
    case CallRefusalReason::StreamVersionGone:
        break;
    }
    return Milliseconds(0);
}

/** A limit in log lines, in requests per second; "-" if there is none. */
std::string limitText(const std::optional<RequestRate> &limit)
{
    return limit.has_value() ? absl::StrCat(limit->value()) : "-";
}

/** The call's program; a call without one counts as a program of its own. */
ProgramId programOf(const IncomingCall &call)
{
    return call.program.value().empty() ? ProgramId(call.attempt.value()) : call.program;
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
    case CallRefusalReason::DeadlineExceeded:
        return "out-of-time";
    case CallRefusalReason::StreamVersionUnknown:
        return "version-unknown";
    case CallRefusalReason::StreamVersionGone:
        return "version-gone";
    }
    return "unknown";
}

CallScheduler::CallScheduler(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_objects(MaxRememberedObjects)
    , m_limits(m_dependencies.clock)
    , m_unreadableLimits(MaxUnreadableLimits)
{ }

bool CallScheduler::setRouteTable(std::shared_ptr<const RouteTable> table)
{
    if (m_table != nullptr && table->version <= m_table->version) {
        return false;
    }
    m_table = std::move(table);
    return true;
}

std::optional<CallRefusal> CallScheduler::resolveRoute(Call &call) const
{
    if (m_table == nullptr) {
        return CallRefusal{CallRefusalReason::NoConfiguration, ConfigurationRetryAfter};
    }
    call.table = m_table;
    call.route = matchRoute(*m_table, call.incoming.host, call.incoming.path);
    if (call.route == nullptr || call.route->services.empty()) {
        return CallRefusal{CallRefusalReason::NoRoute, Milliseconds(0)};
    }
    Milliseconds timeout = call.incoming.callerTimeout.value_or(DefaultTimeout);
    if (call.route->timeout.count() > 0) {
        timeout = std::min(timeout, call.route->timeout);
    }
    call.deadline = call.openedAt + timeout;
    call.service = chooseService(*call.route, programOf(call.incoming).value());
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
    const std::optional<CallRefusal> refusal = resolveRoute(call);
    Call &opened = m_calls[handle] = std::move(call);
    if (refusal.has_value()) {
        refuse(handle, refusal->reason);
        return;
    }
    if (opened.route->kind == RequestKind::Stream && opened.incoming.resumption.has_value()) {
        findStreamOrigin(handle);
        return;
    }
    prepare(handle);
}

void CallScheduler::findStreamOrigin(CallHandle handle)
{
    const Call &call = m_calls[handle];
    const AttemptId &firstAttempt = call.incoming.resumption->firstAttempt;
    if (!firstAttempt.value().empty()) {
        m_dependencies.streams.find(
            firstAttempt, call.service,
            [this, handle](const OriginLookup &lookup) { setStreamOrigin(handle, lookup); });
        return;
    }
    // The caller doesn't say where the stream began, so nobody can be asked.
    OriginLookup lookup;
    const std::optional<SoftwareVersion> version =
        m_dependencies.replicas.presentVersion(call.service);
    if (version.has_value()) {
        lookup = {StreamOrigin{call.service, *version, ReplicaId()}, OriginSource::OnlyVersion};
    }
    setStreamOrigin(handle, lookup);
}

void CallScheduler::setStreamOrigin(CallHandle handle, const OriginLookup &lookup)
{
    Call &call = m_calls[handle];
    call.streamOrigin = lookup.origin;
    call.originSource = lookup.source;
    const bool usable = lookup.origin.has_value() && lookup.origin->service == call.service
        && m_dependencies.streams.isCertain(*lookup.origin);
    if (!usable) {
        refuse(handle, CallRefusalReason::StreamVersionUnknown);
        return;
    }
    prepare(handle);
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
        call.incoming.previousTurn, until,
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
    const std::int64_t budget =
        incoming.tokenBudget.value_or(std::numeric_limits<std::int64_t>::max());
    const ReservationRequest claim{programOf(incoming), incoming.attempt, budget,
                                   incoming.maxTurnTokens};
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

const ReplicaState *CallScheduler::selectReplica(const Call &call,
                                                 std::int64_t maxOwnRequests) const
{
    if (call.dispatches >= MaxDispatches) {
        return nullptr;
    }
    PlacementRequest request;
    if (call.streamOrigin.has_value()) {
        if (!m_dependencies.streams.isCertain(*call.streamOrigin)) {
            return nullptr;
        }
        request.requiredVersion = call.streamOrigin->version;
    }
    request.service = call.service;
    request.triedReplicas = call.triedReplicas;
    request.zone = m_dependencies.zone;
    request.maxOwnRequests = maxOwnRequests;
    if (isPlacedByObject(call)) {
        request.warmState = WarmState::Object;
        request.affinityKey = call.incoming.object;
        request.warmReplica = m_objects.find(call.service, call.incoming.object);
    } else if (call.route->hasPrompt()) {
        request.affinityKey = programOf(call.incoming).value();
        request.warmReplica = call.promptReplica;
    }
    return chooseReplica(m_dependencies.replicas, request, m_dependencies.clock.now());
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
    const ReplicaState *replica = selectReplica(call, connectionShare(call.service));
    if (replica != nullptr && !isFull(*replica, m_dependencies.clock.now())) {
        dispatchTo(call, handle, *replica);
    } else if (hasEligibleReplica(call)) {
        enqueue(handle);
    } else {
        refuse(handle, noReplicaReason(call));
    }
}

CallRefusalReason CallScheduler::noReplicaReason(const Call &call) const
{
    if (!call.streamOrigin.has_value()) {
        return CallRefusalReason::NoReplica;
    }
    for (const ReplicaState *replica : m_dependencies.replicas.usable(call.service)) {
        if (replica->entry.softwareVersion == call.streamOrigin->version) {
            return CallRefusalReason::NoReplica;
        }
    }
    return CallRefusalReason::StreamVersionGone;
}

bool CallScheduler::hasEligibleReplica(const Call &call) const
{
    return selectReplica(call, std::numeric_limits<std::int64_t>::max()) != nullptr;
}

void CallScheduler::enqueue(CallHandle handle)
{
    const Call &call = m_calls[handle];
    QueuedCall queued;
    queued.handle = handle;
    queued.service = call.service;
    queued.programDeadline = call.incoming.programDeadline;
    queued.priority = call.route->priority;
    queued.programStarted = !call.promptReplica.value().empty() || call.streamOrigin.has_value();
    queued.queuedAt = m_dependencies.clock.now();
    m_queue.push_back(std::move(queued));
    scheduleQueueCheck();
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
    sortCallQueue(queued, now);
    std::vector<QueuedCall> stillQueued;
    for (QueuedCall &item : queued) {
        Call &call = m_calls[item.handle];
        const ReplicaState *replica = selectReplica(call, connectionShare(call.service));
        call.queueTime = now - item.queuedAt;
        if (replica != nullptr && !isFull(*replica, now) && now < call.deadline) {
            dispatchTo(call, item.handle, *replica);
        } else if (!hasEligibleReplica(call) || now >= item.queuedAt + MaxQueueTime
                   || now >= call.deadline) {
            refuse(item.handle, noReplicaReason(call));
        } else {
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
    const auto service = call.table->services.find(call.service);
    result.tokensPerEvent =
        service == call.table->services.end() ? 0 : service->second.tokensPerEvent;
    result.history = call.history == nullptr ? nullptr : call.history->text;
    result.deadline = call.deadline;
    call.dispatches += 1;
    call.triedReplicas.insert(replica.entry.id);
    result.replicaLimit = m_limits.limitOf(fingerprintOf(incarnationOf(replica.entry)));
    call.attemptedReplicas.push_back({replica.entry, result.replicaLimit});
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
        done(CallRefusal{reason, retryDelayFor(reason)});
        return;
    }
    CallCompletion completion;
    completion.refusal = reason;
    completion.outcome = std::string(refusalReasonName(reason));
    close(handle, completion, [](bool) {});
    done(CallRefusal{reason, retryDelayFor(reason)});
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
    call.currentReplica.reset();
}

void CallScheduler::retryOnOtherReplica(CallHandle handle, const ReplicaObservation &observation,
                                        std::function<void(const CallDecision &)> done)
{
    Call &call = m_calls[handle];
    releaseReplica(call, observation);
    call.done = std::move(done);
    dispatch(handle);
}

void CallScheduler::noteStreamStarted(CallHandle handle)
{
    const auto found = m_calls.find(handle);
    if (found == m_calls.end() || found->second.streamOrigin.has_value()) {
        return;
    }
    Call &call = found->second;
    const AttemptedReplica &replica = call.attemptedReplicas.back();
    call.streamOrigin = StreamOrigin{call.service, replica.entry.softwareVersion, replica.entry.id};
    call.originSource = OriginSource::Recorded;
    if (call.route->resumable) {
        m_dependencies.streams.note(call.incoming.attempt, *call.streamOrigin);
    }
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
    if (m_limits.noteAnswer(fingerprintOf(incarnationOf(replica)), statement, sentAt)) {
        logLimit(replica, attempt,
                 statement.kind == LimitStatement::Kind::Limited ? "limited" : "limit-ended");
    }
}

void CallScheduler::logLimit(const ReplicaEntry &replica, const AttemptId &attempt,
                             std::string_view outcome) const
{
    const std::optional<RequestRate> limit =
        m_limits.limitOf(fingerprintOf(incarnationOf(replica)));
    LogLine("replica")
        .add("replica", replica.id.value())
        .add("service", replica.service.value())
        .add("started_at", replica.startedAtMillis)
        .add("request", attempt.value())
        .add("limit", limitText(limit))
        .add("outcome", std::string(outcome))
        .info();
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
    if (call.budgetReserved) {
        const PromptLocation location{call.incoming.session,
                                      completion.answerComplete ? call.lastReplica : ReplicaId()};
        m_dependencies.ledger.settle(
            {programOf(call.incoming), call.incoming.attempt, completion.tokens}, location);
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
    m_dependencies.turns.record(call.incoming.attempt, call.history, std::move(text),
                                call.route->turnRetention, [answerOnce] { answerOnce(true); });
}

void CallScheduler::logFailedAttempt(const Call &call, const ReplicaObservation &observation) const
{
    LogLine("attempt")
        .add("request", call.incoming.attempt.value())
        .add("replica", call.currentReplica->value())
        .add("version", call.attemptedReplicas.back().entry.softwareVersion.value())
        .add("limit", limitText(call.attemptedReplicas.back().limit))
        .add("outcome", observation.failureReason)
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
    case CallRefusalReason::StreamVersionUnknown:
    case CallRefusalReason::StreamVersionGone:
        line.add("service", call.service.value())
            .add("replicas_known",
                 static_cast<std::int64_t>(m_dependencies.replicas.usable(call.service).size()))
            .add("registry_age_ms", toMillis(m_dependencies.replicas.registryAge()));
        break;
    case CallRefusalReason::NoRoute:
        line.add("host", call.incoming.host);
        break;
    case CallRefusalReason::NoConfiguration:
    case CallRefusalReason::BadCall:
    case CallRefusalReason::DeadlineExceeded:
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
}

void CallScheduler::logCompletion(const Call &call, const CallCompletion &completion) const
{
    LogLine line("call");
    line.add("request", call.incoming.attempt.value())
        .add("program", call.incoming.program.value())
        .add("outcome", completion.outcome)
        .add("status", static_cast<std::int64_t>(completion.status))
        .add("ms", toMillis(m_dependencies.clock.now() - call.openedAt));
    if (call.route != nullptr) {
        line.add("route", call.route->name)
            .add("configuration", call.table->version.value())
            .add("left_ms", toMillis(call.deadline - m_dependencies.clock.now()));
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
