#include "control/call_scheduler.h"

#include <limits>

namespace boragepath {

namespace {

/** Callers that state no patience get the route's time, and this if it states none either. */
constexpr Milliseconds DefaultPatience{30'000};
/** Longest wait for the store before a turn is refused: callers may try another VM. */
constexpr Milliseconds StorePatience{1'200};
/** A replica frees a place about this fast. */
constexpr Milliseconds ReplicaRetryAfter{150};
/** An outage of the store lasts seconds; coming back sooner is in vain. */
constexpr Milliseconds StoreRetryAfter{1'500};
constexpr Milliseconds ConfigurationRetryAfter{300};
/** Several replicas may decline a call before it is given up. */
constexpr int MaxDispatches = 4;
/** Callers give a stream up after about two and a half seconds without an event. */
constexpr Milliseconds LongestWait{1'500};
/** A place is found this soon after it was freed; turns take some hundred milliseconds. */
constexpr Milliseconds ServingInterval{5};
/** A VM that lost power leaves its connections open at the replicas; the next process needs room
 * beside them. */
constexpr std::int64_t Generations = 2;
/** VMs that may be added while connections are open; they need a share too. */
constexpr std::size_t SpareVms = 2;

Milliseconds retryAfterOf(CallRefusalReason reason)
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
        break;
    }
    return Milliseconds(0);
}

/** A call without a program is one of its own. */
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
    }
    return "unknown";
}

CallScheduler::CallScheduler(Parts parts)
    : m_parts(std::move(parts))
{ }

bool CallScheduler::setRouteTable(std::shared_ptr<const RouteTable> table)
{
    if (m_table != nullptr && table->version <= m_table->version) {
        return false;
    }
    m_table = std::move(table);
    return true;
}

std::optional<CallRefusal> CallScheduler::admit(Call &call) const
{
    if (m_table == nullptr) {
        return CallRefusal{CallRefusalReason::NoConfiguration, ConfigurationRetryAfter};
    }
    call.table = m_table;
    call.route = matchRoute(*m_table, call.incoming.host, call.incoming.path);
    if (call.route == nullptr || call.route->services.empty()) {
        return CallRefusal{CallRefusalReason::NoRoute, Milliseconds(0)};
    }
    Milliseconds callerTimeout = call.incoming.callerTimeout.value_or(DefaultPatience);
    if (call.route->timeout.count() > 0) {
        callerTimeout = std::min(callerTimeout, call.route->timeout);
    }
    call.deadline = call.openedAt + callerTimeout;
    call.service = serviceFor(*call.route, programOf(call.incoming).value());
    return std::nullopt;
}

void CallScheduler::open(const IncomingCall &incoming,
                         std::function<void(const CallDecision &)> done)
{
    Call call;
    call.incoming = incoming;
    call.openedAt = m_parts.clock.now();
    call.done = std::move(done);
    const CallHandle handle(m_nextHandle++);
    const std::optional<CallRefusal> refusal = admit(call);
    Call &opened = m_calls[handle] = std::move(call);
    if (refusal.has_value()) {
        refuse(handle, refusal->reason);
        return;
    }
    if (opened.route->storesTurns && !opened.incoming.previousTurn.value().empty()) {
        findHistory(handle);
        return;
    }
    reserve(handle);
}

void CallScheduler::findHistory(CallHandle handle)
{
    Call &call = m_calls[handle];
    const SteadyTime until = std::min(call.deadline, call.openedAt + StorePatience);
    m_parts.turns.find(call.incoming.previousTurn, until,
                       [this, handle](TurnLookup lookup, const ConversationSnapshotPtr &kept) {
                           if (lookup == TurnLookup::Absent) {
                               refuse(handle, CallRefusalReason::UnknownTurn);
                               return;
                           }
                           if (lookup == TurnLookup::StoreUnavailable) {
                               refuse(handle, CallRefusalReason::StoreUnavailable);
                               return;
                           }
                           m_calls[handle].history = kept;
                           reserve(handle);
                       });
}

void CallScheduler::reserve(CallHandle handle)
{
    Call &call = m_calls[handle];
    const IncomingCall &incoming = call.incoming;
    if (!incoming.tokenBudget.has_value() && !call.route->storesTurns) {
        dispatch(handle);
        return;
    }
    // A kept turn without a budget is recorded all the same.
    const std::int64_t budget =
        incoming.tokenBudget.value_or(std::numeric_limits<std::int64_t>::max());
    const ReservationRequest claim{programOf(incoming), incoming.attempt, budget,
                                   incoming.maxTurnTokens};
    const SteadyTime until = std::min(call.deadline, call.openedAt + StorePatience);
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
        m_calls[handle].reserved = true;
        m_calls[handle].promptReplica = promptReplica;
        dispatch(handle);
    };
    m_parts.ledger.reserve(claim, incoming.session, until, decide);
}

std::int64_t CallScheduler::connectionShare(const PoolName &service) const
{
    const auto found = m_table->services.find(service);
    if (found == m_table->services.end() || found->second.maxConnections <= 0) {
        return std::numeric_limits<std::int64_t>::max();
    }
    const auto vms = static_cast<std::int64_t>(m_parts.vms.sharingCount() + SpareVms);
    return std::max<std::int64_t>(1, found->second.maxConnections / (vms * Generations));
}

const ReplicaState *CallScheduler::place(const Call &call, std::int64_t maxOwnRequests) const
{
    if (call.dispatches >= MaxDispatches) {
        return nullptr;
    }
    PlacementRequest request;
    request.service = call.service;
    request.tried = call.tried;
    request.zone = m_parts.zone;
    request.maxOwnRequests = maxOwnRequests;
    if (call.route->hasPrompt) {
        request.affinityKey = programOf(call.incoming).value();
        request.promptReplica = call.promptReplica;
    }
    return choosePlacement(m_parts.replicas, request, m_parts.clock.now());
}

void CallScheduler::dispatch(CallHandle handle)
{
    Call &call = m_calls[handle];
    if (m_parts.clock.now() >= call.deadline) {
        refuse(handle, CallRefusalReason::DeadlineExceeded);
        return;
    }
    const ReplicaState *replica = place(call, connectionShare(call.service));
    if (replica != nullptr && !isFull(*replica, m_parts.clock.now())) {
        send(call, handle, *replica);
    } else if (mayBeServed(call)) {
        wait(handle);
    } else {
        refuse(handle, CallRefusalReason::NoReplica);
    }
}

/** True if some replica could serve the call, though perhaps not at once. */
bool CallScheduler::mayBeServed(const Call &call) const
{
    return place(call, std::numeric_limits<std::int64_t>::max()) != nullptr;
}

void CallScheduler::wait(CallHandle handle)
{
    const Call &call = m_calls[handle];
    WaitingCall waiting;
    waiting.handle = handle;
    waiting.service = call.service;
    waiting.programDeadline = call.incoming.programDeadline;
    waiting.priority = call.route->priority;
    waiting.underWay = !call.promptReplica.value().empty();
    waiting.since = m_parts.clock.now();
    m_waiting.push_back(std::move(waiting));
    planServing();
}

void CallScheduler::planServing()
{
    if (m_servingPlanned || m_waiting.empty()) {
        return;
    }
    m_servingPlanned = true;
    m_parts.timers.after(ServingInterval, [this] {
        m_servingPlanned = false;
        serveWaiting();
        planServing();
    });
}

/** Sends what has a place now, in order, and refuses what has waited too long. */
void CallScheduler::serveWaiting()
{
    const SteadyTime now = m_parts.clock.now();
    std::vector<WaitingCall> waiting = std::move(m_waiting);
    m_waiting.clear();
    sortWaiting(waiting, now);
    std::vector<WaitingCall> left;
    for (WaitingCall &item : waiting) {
        Call &call = m_calls[item.handle];
        const ReplicaState *replica = place(call, connectionShare(call.service));
        call.waited = now - item.since;
        if (replica != nullptr && !isFull(*replica, now) && now < call.deadline) {
            send(call, item.handle, *replica);
        } else if (!mayBeServed(call) || now >= item.since + LongestWait || now >= call.deadline) {
            refuse(item.handle, CallRefusalReason::NoReplica);
        } else {
            left.push_back(std::move(item));
        }
    }
    m_waiting.insert(m_waiting.end(), left.begin(), left.end());
}

void CallScheduler::send(Call &call, CallHandle handle, const ReplicaState &replica)
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
    call.tried.insert(replica.entry.id);
    call.current = replica.entry.id;
    call.last = replica.entry.id;
    call.chosenBy = placementInputs(replica, m_parts.clock.now());
    m_parts.replicas.begin(replica.entry.id);
    call.done(result);
}

void CallScheduler::refuse(CallHandle handle, CallRefusalReason reason)
{
    Call &call = m_calls[handle];
    const auto done = std::move(call.done);
    if (call.dispatches > 0) {
        // The connection knows whether the call may have run; it closes the call.
        call.done = done;
        done(CallRefusal{reason, retryAfterOf(reason)});
        return;
    }
    CallCompletion end;
    end.refusal = reason;
    end.outcome = std::string(refusalReasonName(reason));
    close(handle, end, [](bool) {});
    done(CallRefusal{reason, retryAfterOf(reason)});
}

void CallScheduler::releaseReplica(Call &call, const ReplicaObservation &observation)
{
    if (!call.current.has_value()) {
        return;
    }
    if (observation.outcome != ReplicaObservation::Outcome::Served) {
        logReplicaTrouble(call, observation);
    }
    m_parts.replicas.end(*call.current, observation);
    call.current.reset();
}

void CallScheduler::retryOnOtherReplica(CallHandle handle, const ReplicaObservation &observation,
                                        std::function<void(const CallDecision &)> done)
{
    Call &call = m_calls[handle];
    releaseReplica(call, observation);
    call.done = std::move(done);
    dispatch(handle);
}

void CallScheduler::endReplicaAttempt(CallHandle handle, const ReplicaObservation &observation)
{
    releaseReplica(m_calls[handle], observation);
}

void CallScheduler::close(CallHandle handle, const CallCompletion &end,
                          std::function<void(bool)> done)
{
    const auto found = m_calls.find(handle);
    Call call = std::move(found->second);
    m_calls.erase(found);
    releaseReplica(call, ReplicaObservation());
    logEnd(call, end);
    if (call.reserved) {
        const PromptLocation place{call.incoming.session,
                                   end.answerComplete ? call.last : ReplicaId()};
        m_parts.ledger.settle({programOf(call.incoming), call.incoming.attempt, end.tokens}, place);
    }
    if (call.route != nullptr && call.route->storesTurns && end.answerComplete) {
        record(call, end, std::move(done));
        return;
    }
    done(true);
}

void CallScheduler::record(const Call &call, const CallCompletion &end,
                           std::function<void(bool)> done)
{
    std::string text = call.history == nullptr ? std::string() : *call.history->text;
    text += call.incoming.input == nullptr ? std::string() : *call.incoming.input;
    text += end.output;
    const auto answered = std::make_shared<bool>(false);
    const auto answerOnce = [answered, done = std::move(done)](bool recorded) {
        if (!*answered) {
            *answered = true;
            done(recorded);
        }
    };
    m_parts.timers.after(call.deadline - m_parts.clock.now(), [answerOnce] { answerOnce(false); });
    m_parts.turns.record(call.incoming.attempt, call.history, std::move(text),
                         call.route->turnRetention, [answerOnce] { answerOnce(true); });
}

void CallScheduler::logReplicaTrouble(const Call &call, const ReplicaObservation &observation) const
{
    LogLine("attempt")
        .add("request", call.incoming.attempt.value())
        .add("replica", call.current->value())
        .add("outcome", observation.failureReason)
        .add("attempt", call.dispatches)
        .info();
}

/** The beliefs that a refusal rests on, and how old they are. */
void CallScheduler::addRefusalInputs(const Call &call, CallRefusalReason reason,
                                     LogLine &line) const
{
    switch (reason) {
    case CallRefusalReason::StoreUnavailable:
        line.add("store_silent_ms", toMillis(m_parts.health.silence()));
        break;
    case CallRefusalReason::UnknownTurn:
        line.add("previous", call.incoming.previousTurn.value());
        break;
    case CallRefusalReason::BudgetExhausted:
        line.add("budget", call.incoming.tokenBudget.value_or(0))
            .add("most", call.incoming.maxTurnTokens);
        break;
    case CallRefusalReason::NoReplica:
        line.add("service", call.service.value())
            .add("replicas_known",
                 static_cast<std::int64_t>(m_parts.replicas.usable(call.service).size()))
            .add("registry_age_ms", toMillis(m_parts.replicas.readingAge()));
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

void CallScheduler::logEnd(const Call &call, const CallCompletion &end) const
{
    LogLine line("call");
    line.add("request", call.incoming.attempt.value())
        .add("program", call.incoming.program.value())
        .add("outcome", end.outcome)
        .add("status", static_cast<std::int64_t>(end.status))
        .add("ms", toMillis(m_parts.clock.now() - call.openedAt));
    if (call.route != nullptr) {
        line.add("route", call.route->name)
            .add("configuration", call.table->version.value())
            .add("left_ms", toMillis(call.deadline - m_parts.clock.now()));
    }
    if (!call.tried.empty()) {
        std::string tried;
        for (const ReplicaId &id : call.tried) {
            tried += (tried.empty() ? "" : ",") + id.value();
        }
        line.add("replicas", tried)
            .add("own", call.chosenBy.ownRequests)
            .add("reported", call.chosenBy.reportedRequests)
            .add("waited_ms", toMillis(call.waited))
            .add("report_age_ms", toMillis(call.chosenBy.reportAge));
    }
    if (end.refusal.has_value()) {
        addRefusalInputs(call, *end.refusal, line);
    }
    line.info();
}

} // namespace boragepath
