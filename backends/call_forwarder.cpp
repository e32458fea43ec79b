#include "backends/call_forwarder.h"

#include "backends/stream_position.h"
#include "core/logging.h"
#include "net/control_call.h"
#include "net/event_stream_parser.h"

namespace boragepath {

namespace asio = boost::asio;

namespace {

/** A live replica accepts a connection within milliseconds, even from another zone. */
constexpr Milliseconds ConnectTimeout{350};
/** A machine whose process has ended refuses a connection at once. A retry waits no longer. */
constexpr Milliseconds EndCheckTimeout{100};
/**
 * How long a repeatable call waits for further bytes before it is retried on another replica.
 * Streams wait StreamSilenceTimeout; other calls wait SilenceTimeoutFactor times the route's
 * latency objective, but at least MinSilenceTimeout.
 */
constexpr Milliseconds MinSilenceTimeout{250};
constexpr Milliseconds StreamSilenceTimeout{900};
constexpr int SilenceTimeoutFactor = 4;
/**
 * A replica closes connections that were idle for its keep-alive timeout. Reuse stops
 * KeepAliveMargin earlier, so that no request is sent on a connection that is being closed.
 */
constexpr Milliseconds DefaultKeepAliveTimeout{4'000};
constexpr Milliseconds KeepAliveMargin{800};
/**
 * Longest idle time of a connection that is reused for a non-idempotent call: such a call cannot
 * be retried if the replica has meanwhile closed the connection.
 */
constexpr Milliseconds MaxIdleForNonIdempotent{1'000};
/** Responses to earlier calls that are skipped before the expected one. */
constexpr int MaxStaleResponses = 2;
/** Longer responses to earlier calls are not read to their end. */
constexpr std::size_t MaxDiscardedBytes = 1UL * 1024 * 1024;
/** Larger responses that are not event streams fail. */
constexpr std::size_t MaxBufferedBodyBytes = 8UL * 1024 * 1024;
/** Longest output of a turn that is stored; far more than the tokens of a turn take. */
constexpr std::size_t MaxStoredOutputBytes = 1UL * 1024 * 1024;
/** What the head of an answer takes, parsed and unparsed. */
constexpr std::size_t AnswerHeadBytes = 40UL * 1024;
/** An event is held by the parser, as the parsed event, and as the chunk that is being sent. */
constexpr std::size_t EventCopies = 3;
constexpr unsigned FirstServerError = 500;
/** An answer with this status has no body, and its framing has no end. */
constexpr unsigned NoContent = 204;
/** Failure of an answer that the process can't hold beside all others. */
constexpr const char *NoRoom = "no room for the answer";
/** Retry-After of refusals without a replica: some replica has likely a free slot by then. */
constexpr Milliseconds NoReplicaRetryAfter{150};

bool isSuccess(unsigned status)
{
    return status / 100 == 2;
}

/** The answer is passed on event by event. */
bool isStream(const ReplicaResponseHead &head)
{
    return head.isEventStream && isSuccess(head.status) && head.status != NoContent;
}

} // namespace

/** How the attempt to run a call on one replica ended. */
enum class CallForwarder::AttemptResult {
    Delivered, ///< The caller has the complete response, except for the end of a stream.
    NotExecuted, ///< The replica cannot have run the call.
    Incomplete, ///< The replica may have run the call, but no complete response arrived.
    CallerGone,
    DeadlineExceeded,
};

/** The state of one call across the replicas that it is sent to. */
struct CallForwarder::Progress
{
    const IncomingCall &call;
    const ReplicaCodec &codec;
    CallerChannel &channel;
    CallDispatch dispatch;
    SteadyTime startedAt;
    ReceiveBudget &received;
    /** What is held of the present answer, and of the output that is to be stored. */
    HeldBytes held{received};
    /** When the request was sent to the present replica. */
    SteadyTime sentAt = SteadyTime();
    ReplicaObservation observation = ReplicaObservation();
    /** Number of replicas that may have run the call. */
    int possibleRuns = 0;
    /** The head of a response has been sent to the caller. */
    bool responseStarted = false;
    bool isStream = false;
    /** Events sent to the caller, from all replicas. */
    std::int64_t events = 0;
    /** Where the caller's stream stands; a resumed stream continues there. */
    StreamPosition position = StreamPosition();
    /** Data of the events sent, where the route stores turns. */
    std::string output = std::string();
    unsigned status = 0;
    /** Failure at the previous replica, for the log. */
    std::string previousFailureReason = std::string();

    bool isRepeatable() const
    {
        const RoutePolicy &route = *dispatch.route;
        return route.kind == RequestKind::Idempotent
            || (route.kind == RequestKind::Stream && route.resumable);
    }
    /** Another replica can go on with the part of a stream that the caller has. */
    bool canContinue() const
    {
        return dispatch.route->kind == RequestKind::Stream && !position.endsWithoutId;
    }
    bool canRetry() const
    {
        return isRepeatable() && possibleRuns < dispatch.route->maxReplicas
            && (!responseStarted || canContinue());
    }
    /** Accounts for the output and @p pending bytes more; false if there is no room for them. */
    bool hold(std::size_t pending)
    {
        return held.resize(AnswerHeadBytes + output.size() + pending);
    }
    /**
     * The caller has got all events that the turn's tokens can fill. One more is let through, which
     * may mark the end.
     */
    bool hasAllTokens() const
    {
        const std::int64_t tokensBeforeLastEvent = (events - 1) * dispatch.tokensPerEvent;
        return call.maxTurnTokens > 0 && dispatch.tokensPerEvent > 0
            && tokensBeforeLastEvent >= call.maxTurnTokens;
    }
};

CallForwarder::CallForwarder(asio::io_context &control, CallScheduler &scheduler,
                             ReplicaConnectionPool &connectionPool, const Clock &clock,
                             ForwardCounters &counters, ReceiveBudget &received)
    : m_control(control)
    , m_scheduler(scheduler)
    , m_replicaConnections(connectionPool)
    , m_clock(clock)
    , m_counters(counters)
    , m_received(received)
{ }

asio::awaitable<CallDecision> CallForwarder::open(const IncomingCall &call)
{
    return runOnControlThread<CallDecision>(
        m_control, [this, call](std::function<void(const CallDecision &)> done) {
            m_scheduler.open(call, std::move(done));
        });
}

asio::awaitable<CallDecision>
CallForwarder::retryOnOtherReplica(CallHandle handle, const ReplicaObservation &observation)
{
    return runOnControlThread<CallDecision>(
        m_control, [this, handle, observation](std::function<void(const CallDecision &)> done) {
            m_scheduler.retryOnOtherReplica(handle, observation, std::move(done));
        });
}

asio::awaitable<bool> CallForwarder::close(CallHandle handle, const CallCompletion &end)
{
    return runOnControlThread<bool>(m_control,
                                    [this, handle, end](std::function<void(const bool &)> done) {
                                        m_scheduler.close(handle, end, std::move(done));
                                    });
}

asio::awaitable<void> CallForwarder::noteOutput(CallHandle handle, const StreamEvent &event)
{
    std::function<void(std::function<void(const bool &)>)> note =
        [this, handle, text = event.data + '\n',
         id = event.id](const std::function<void(const bool &)> &done) {
            m_scheduler.noteStreamOutput(handle, text, id);
            done(true);
        };
    co_await runOnControlThread<bool>(m_control, std::move(note));
}

asio::awaitable<void> CallForwarder::serve(IncomingCall call, ReplicaCodec codec,
                                           std::shared_ptr<CallerChannel> channel)
{
    const SteadyTime startedAt = m_clock.now();
    CallDecision decision = co_await open(call);
    if (const auto *refusal = std::get_if<CallRefusal>(&decision)) {
        countRefusal(*refusal);
        co_await channel->sendRefusal(*refusal);
        co_return;
    }
    Progress progress{call,      codec,     *channel, std::get<CallDispatch>(decision),
                      startedAt, m_received};
    if (call.resumption.has_value()) {
        progress.position.lastEventId = call.resumption->lastEventId;
    }
    for (;;) {
        const AttemptResult attemptResult = co_await runOnReplica(progress);
        progress.observation.eventsForwarded = progress.events;
        const bool shouldRetry = attemptResult == AttemptResult::NotExecuted
            || (attemptResult == AttemptResult::Incomplete && progress.canRetry());
        if (!shouldRetry || channel->isDisconnected()
            || m_clock.now() >= progress.dispatch.deadline) {
            co_await finishCall(progress, attemptResult);
            co_return;
        }
        const CallHandle handle = progress.dispatch.handle;
        decision = co_await retryOnOtherReplica(handle, progress.observation);
        progress.previousFailureReason = progress.observation.failureReason;
        progress.observation = {};
        if (const auto *next = std::get_if<CallDispatch>(&decision)) {
            progress.dispatch = *next;
            continue;
        }
        if (progress.possibleRuns > 0) {
            co_await finishCall(progress, AttemptResult::Incomplete);
            co_return;
        }
        CallCompletion end;
        end.refusal = std::get<CallRefusal>(decision).reason;
        end.outcome = std::string(refusalReasonName(*end.refusal));
        co_await close(handle, end);
        countRefusal(std::get<CallRefusal>(decision));
        co_await channel->sendRefusal(std::get<CallRefusal>(decision));
        co_return;
    }
}

asio::awaitable<std::shared_ptr<ReplicaConnection>>
CallForwarder::connect(const CallDispatch &dispatch)
{
    const bool isNonIdempotent = dispatch.route->kind != RequestKind::Idempotent;
    const Duration maxIdleTime =
        isNonIdempotent ? MaxIdleForNonIdempotent : Duration(DefaultKeepAliveTimeout * 10);
    std::shared_ptr<ReplicaConnection> connection =
        m_replicaConnections.takeIdle(dispatch.replica.endpoint, maxIdleTime);
    if (connection != nullptr) {
        co_return connection;
    }
    connection = m_replicaConnections.makeConnection();
    m_counters.replicaConnections += 1;
    const ConnectResult result =
        co_await connection->connect(dispatch.replica.endpoint, ConnectTimeout);
    if (result != ConnectResult::Connected) {
        connection.reset();
    }
    co_return connection;
}

asio::awaitable<bool> CallForwarder::hasEnded(Endpoint replica)
{
    const std::shared_ptr<ReplicaConnection> connection = m_replicaConnections.makeConnection();
    m_counters.replicaConnections += 1;
    const ConnectResult result = co_await connection->connect(replica, EndCheckTimeout);
    if (result == ConnectResult::Connected) {
        m_replicaConnections.returnIdle(replica, connection, DefaultKeepAliveTimeout);
    }
    co_return result == ConnectResult::Refused;
}

SteadyTime CallForwarder::silenceDeadline(const Progress &progress) const
{
    const CallDispatch &dispatch = progress.dispatch;
    // No other replica may follow the last one, so it gets all the time that is left.
    if (!progress.canRetry()) {
        return dispatch.deadline;
    }
    const Milliseconds silence = dispatch.route->kind == RequestKind::Stream
        ? StreamSilenceTimeout
        : std::max(MinSilenceTimeout, dispatch.route->latencyObjective * SilenceTimeoutFactor);
    return std::min(dispatch.deadline, m_clock.now() + silence);
}

asio::awaitable<CallForwarder::AttemptResult> CallForwarder::runOnReplica(Progress &progress)
{
    using Outcome = ReplicaObservation::Outcome;
    const CallDispatch &dispatch = progress.dispatch;
    const std::shared_ptr<ReplicaConnection> connection = co_await connect(dispatch);
    if (connection == nullptr) {
        progress.observation.outcome = Outcome::Unreachable;
        progress.observation.failureReason = "unreachable";
        co_return AttemptResult::NotExecuted;
    }
    if (progress.channel.isDisconnected()) {
        m_replicaConnections.returnIdle(dispatch.replica.endpoint, connection,
                                        DefaultKeepAliveTimeout);
        co_return AttemptResult::CallerGone;
    }
    if (dispatch.deadline - m_clock.now() < Milliseconds(1)) {
        co_return AttemptResult::DeadlineExceeded;
    }
    const AttemptResult attemptResult = co_await sendToReplica(progress, connection);
    if (attemptResult == AttemptResult::Incomplete && connection->brokenByServer()) {
        progress.observation.replicaEnded = co_await hasEnded(dispatch.replica.endpoint);
        m_counters.requestsEndedWithReplica += progress.observation.replicaEnded ? 1 : 0;
    }
    co_return attemptResult;
}

asio::awaitable<CallForwarder::AttemptResult>
CallForwarder::sendToReplica(Progress &progress, std::shared_ptr<ReplicaConnection> connection)
{
    using Outcome = ReplicaObservation::Outcome;
    const CallDispatch &dispatch = progress.dispatch;
    progress.sentAt = m_clock.now();
    const auto timeLeft =
        std::chrono::duration_cast<Milliseconds>(dispatch.deadline - progress.sentAt);
    const std::weak_ptr<ReplicaConnection> weakConnection = connection;
    progress.channel.onDisconnect([weakConnection] {
        if (const auto open = weakConnection.lock()) {
            open->close();
        }
    });
    std::vector<const std::string *> body;
    std::size_t bodyBytes = 0;
    const Conversation parts[] = {dispatch.history, progress.call.input};
    for (const Conversation &part : parts) {
        if (part != nullptr && !part->empty()) {
            body.push_back(part.get());
            bodyBytes += part->size();
        }
    }
    const std::string head =
        progress.codec.requestHead(dispatch, timeLeft, bodyBytes, progress.position.lastEventId);
    const bool hasPermit =
        !dispatch.sendBefore.has_value() || progress.sentAt < *dispatch.sendBefore;
    if (!hasPermit || !progress.hold(0)) {
        progress.channel.onDisconnect(nullptr);
        m_replicaConnections.returnIdle(dispatch.replica.endpoint, connection,
                                        DefaultKeepAliveTimeout);
        progress.observation.outcome = Outcome::NotSent;
        const char *lateReason = dispatch.replicaLimit.has_value() ? "permit expired" : "stopping";
        progress.observation.failureReason = hasPermit ? NoRoom : lateReason;
        co_return AttemptResult::NotExecuted;
    }
    progress.possibleRuns += 1;
    // An answer that is no stream arrives as a whole, so that its beginning cannot be seen.
    progress.observation.atBeginning = dispatch.route->kind != RequestKind::Stream;
    m_counters.requestsUnderLimit += dispatch.replicaLimit.has_value() ? 1 : 0;
    ReplicaResponseHead reply;
    const bool sent = co_await connection->send(head, body, dispatch.deadline);
    if (!sent || !co_await readMatchingHead(progress, *connection, reply)) {
        progress.observation.outcome = Outcome::Failed;
        progress.observation.failureReason = !sent ? "send failed"
            : connection->responseBegun()          ? "head broke off"
                                                   : "no answer";
        connection->close();
        co_return progress.channel.isDisconnected() ? AttemptResult::CallerGone
                                                    : AttemptResult::Incomplete;
    }
    progress.observation.load = reply.load;
    progress.observation.status = reply.status;
    if (reply.notExecuted) {
        progress.possibleRuns -= 1;
        progress.observation.outcome = Outcome::Declined;
        progress.observation.wrongReplica = reply.wrongReplica;
        progress.observation.failureReason = reply.wrongReplica ? "other replica" : "declined";
        connection->close();
        co_return AttemptResult::NotExecuted;
    }
    const bool isInvalid = (isSuccess(reply.status) && !reply.hasSeal) || reply.hasContentEncoding;
    if (isInvalid) {
        progress.observation.outcome = Outcome::Failed;
        progress.observation.failureReason = "not the replica's own answer";
        connection->close();
        co_return AttemptResult::Incomplete;
    }
    AttemptResult attemptResult = AttemptResult::Incomplete;
    if (progress.responseStarted && (!isStream(reply) || reply.status != progress.status)) {
        // The caller has a part of a stream, which an answer of another kind cannot continue.
        progress.observation.failureReason = "could not be resumed";
    } else if (isStream(reply)) {
        attemptResult = co_await forwardEventStream(progress, *connection, reply);
    } else {
        attemptResult = co_await forwardBufferedResponse(progress, *connection, reply);
    }
    if (attemptResult == AttemptResult::Delivered && !progress.observation.latency.has_value()) {
        progress.observation.latency = m_clock.now() - progress.sentAt;
    }
    if (attemptResult == AttemptResult::Incomplete) {
        progress.observation.outcome = Outcome::Failed;
    }
    if (attemptResult == AttemptResult::Delivered && connection->reusable()) {
        // The call goes on until its turn is recorded, while another may use the connection.
        progress.channel.onDisconnect(nullptr);
        const Duration idle = reply.keepAliveTimeout.value_or(DefaultKeepAliveTimeout);
        m_replicaConnections.returnIdle(dispatch.replica.endpoint, connection,
                                        std::max<Duration>(idle - KeepAliveMargin, idle / 2));
    } else {
        connection->close();
    }
    co_return attemptResult;
}

/** Reads the response head of this call and skips late responses to earlier calls. */
asio::awaitable<bool> CallForwarder::readMatchingHead(Progress &progress,
                                                      ReplicaConnection &connection,
                                                      ReplicaResponseHead &head)
{
    for (int staleResponses = 0; staleResponses <= MaxStaleResponses; ++staleResponses) {
        HttpResponse response;
        if (!co_await connection.readHead(response, silenceDeadline(progress))) {
            co_return false;
        }
        head = progress.codec.readHead(response, connection.requestsSent() == 1);
        if (head.replicaLeaves && !head.wrongReplica) {
            noteReplicaLeaving(progress);
        }
        if (!head.wrongReplica) {
            noteReplicaLimit(progress, head.limit);
        }
        if (head.matchesCall) {
            if (head.limit.kind == LimitStatement::Kind::NoLimit && !head.wrongReplica) {
                progress.observation.noLimitSince = progress.sentAt;
            }
            if (!head.wrongReplica) {
                noteReplicaReport(progress, head);
            }
            co_return true;
        }
        connection.markUnusable();
        std::string discarded;
        std::size_t discardedBytes = 0;
        while (!connection.responseComplete()) {
            const bool read = co_await connection.readSome(discarded, silenceDeadline(progress));
            discardedBytes += discarded.size();
            if (!read || discardedBytes > MaxDiscardedBytes) {
                co_return false;
            }
            discarded.clear();
        }
    }
    co_return false;
}

void CallForwarder::countRefusal(const CallRefusal &refusal)
{
    m_counters.refused += 1;
    m_counters.quarantinedCalls += refusal.reason == CallRefusalReason::Quarantined ? 1 : 0;
    m_counters.unauthorizedCalls += refusal.reason == CallRefusalReason::UnknownKey ? 1 : 0;
    m_counters.overQuotaCalls += refusal.reason == CallRefusalReason::OverQuota ? 1 : 0;
    m_counters.unconfirmedKeyCalls += refusal.reason == CallRefusalReason::KeysUnconfirmed ? 1 : 0;
    m_counters.overloadedCalls += refusal.reason == CallRefusalReason::Overloaded ? 1 : 0;
}

void CallForwarder::noteReplicaLeaving(const Progress &progress)
{
    m_counters.leavingAnswers += 1;
    asio::post(m_control,
               [this, replica = progress.dispatch.replica, attempt = progress.call.attempt] {
                   m_scheduler.noteReplicaLeaving(replica, attempt);
               });
}

void CallForwarder::noteReplicaLimit(const Progress &progress, const LimitStatement &statement)
{
    if (statement.kind == LimitStatement::Kind::NoLimit) {
        return;
    }
    const bool readable = statement.kind == LimitStatement::Kind::Limited;
    (readable ? m_counters.limitedAnswers : m_counters.unreadableLimits) += 1;
    asio::post(m_control,
               [this, replica = progress.dispatch.replica, attempt = progress.call.attempt,
                statement, sentAt = progress.sentAt] {
                   m_scheduler.noteReplicaLimit(replica, attempt, statement, sentAt);
               });
}

void CallForwarder::noteReplicaReport(const Progress &progress, const ReplicaResponseHead &head)
{
    if (!head.load.has_value()) {
        return;
    }
    // Not at the end of the answer: a stream may last longer than the load stays as reported.
    asio::post(
        m_control,
        [this, replica = progress.dispatch.replica, report = *head.load, readAt = m_clock.now()] {
            m_scheduler.noteReplicaReport(replica, report, readAt);
        });
}

asio::awaitable<CallForwarder::AttemptResult>
CallForwarder::forwardBufferedResponse(Progress &progress, ReplicaConnection &connection,
                                       const ReplicaResponseHead &head)
{
    std::string body;
    while (!connection.responseComplete()) {
        if (!co_await connection.readSome(body, silenceDeadline(progress))) {
            progress.observation.failureReason = "answer broke off";
            co_return progress.channel.isDisconnected() ? AttemptResult::CallerGone
                                                        : AttemptResult::Incomplete;
        }
        const bool isTooLong = body.size() > MaxBufferedBodyBytes;
        if (isTooLong || !progress.hold(body.size())) {
            progress.observation.failureReason = isTooLong ? "answer too long" : NoRoom;
            co_return AttemptResult::Incomplete;
        }
    }
    if (head.status >= FirstServerError && progress.canRetry()) {
        progress.observation.failureReason = "server error";
        co_return AttemptResult::Incomplete;
    }
    progress.status = head.status;
    const unsigned notExecutedStatuses[] = {408, 421, 429, 503};
    for (const unsigned notExecutedStatus : notExecutedStatuses) {
        if (head.status == notExecutedStatus) {
            // Callers take these statuses to mean that the call has not run. The replica has
            // not stated that, so they must not be forwarded.
            progress.observation.failureReason = "unclear refusal";
            co_return AttemptResult::Incomplete;
        }
    }
    co_await progress.channel.sendResponse(head.status, head.fields, body);
    co_return AttemptResult::Delivered;
}

asio::awaitable<bool> CallForwarder::sendEvent(Progress &progress, const ReplicaResponseHead &head,
                                               const std::string &text)
{
    if (!progress.responseStarted) {
        progress.responseStarted = true;
        progress.status = head.status;
        const bool headSent = co_await progress.channel.beginChunked(head.status, head.fields);
        if (!headSent) {
            co_return false;
        }
    }
    co_return co_await progress.channel.sendChunk(text);
}

asio::awaitable<CallForwarder::AttemptResult>
CallForwarder::forwardEventStream(Progress &progress, ReplicaConnection &connection,
                                  const ReplicaResponseHead &head)
{
    progress.isStream = true;
    progress.observation.atBeginning = true;
    EventStreamParser scanner;
    std::string bytes;
    const SteadyTime startedAt = m_clock.now();
    SteadyTime firstAt;
    SteadyTime lastAt;
    std::int64_t eventsFromReplica = 0;
    const bool storesOutput = progress.dispatch.route->storesTurns;
    bool continues = progress.position.lastEventId.has_value();
    for (;;) {
        while (std::optional<StreamEvent> event = scanner.next()) {
            const EventPlace place = placeOf(*event, progress.position, continues);
            if (event->hasStatusLine || place == EventPlace::Elsewhere) {
                progress.observation.failureReason =
                    event->hasStatusLine ? "another answer in the stream" : "another position";
                co_return AttemptResult::Incomplete;
            }
            if (place == EventPlace::Repeated) {
                continue;
            }
            if (isComment(*event)) {
                if (!co_await sendEvent(progress, head, event->text)) {
                    co_return AttemptResult::CallerGone;
                }
                continue;
            }
            continues = false;
            if (progress.hasAllTokens()) {
                progress.observation.failureReason = "more tokens than the turn may have";
                co_return AttemptResult::Incomplete;
            }
            if (progress.events == 0) {
                asio::post(m_control, [this, handle = progress.dispatch.handle] {
                    m_scheduler.noteStreamStarted(handle);
                });
            }
            if (storesOutput && progress.dispatch.route->resumable) {
                co_await noteOutput(progress.dispatch.handle, *event);
            }
            if (!co_await sendEvent(progress, head, event->text)) {
                co_return AttemptResult::CallerGone;
            }
            lastAt = m_clock.now();
            if (eventsFromReplica == 0) {
                firstAt = lastAt;
                progress.observation.latency = firstAt - startedAt;
            }
            eventsFromReplica += 1;
            progress.observation.atBeginning = false;
            progress.events += 1;
            advance(progress.position, *event);
            if (storesOutput) {
                progress.output += event->data;
                progress.output += '\n';
            }
            if (progress.output.size() > MaxStoredOutputBytes) {
                progress.observation.failureReason = "turn too long";
                co_return AttemptResult::Incomplete;
            }
        }
        if (connection.responseComplete()) {
            break;
        }
        bytes.clear();
        if (!co_await connection.readSome(bytes, silenceDeadline(progress))) {
            progress.observation.failureReason = "stream broke off";
            co_return progress.channel.isDisconnected() ? AttemptResult::CallerGone
                                                        : AttemptResult::Incomplete;
        }
        scanner.add(bytes);
        const bool isTooLong = scanner.isTooLong();
        if (isTooLong || !progress.hold(EventCopies * scanner.pendingBytes())) {
            progress.observation.failureReason = isTooLong ? "event without end" : NoRoom;
            co_return AttemptResult::Incomplete;
        }
    }
    if (eventsFromReplica > 1) {
        progress.observation.eventInterval = (lastAt - firstAt) / (eventsFromReplica - 1);
    }
    if (scanner.hasPartialEvent()) {
        progress.observation.failureReason = "ended within an event";
        co_return AttemptResult::Incomplete;
    }
    if (!progress.responseStarted && !co_await sendEvent(progress, head, "")) {
        co_return AttemptResult::CallerGone;
    }
    co_return AttemptResult::Delivered;
}

asio::awaitable<void> CallForwarder::finishCall(Progress &progress, AttemptResult attemptResult)
{
    CallerChannel &channel = progress.channel;
    CallCompletion end;
    end.answerComplete = attemptResult == AttemptResult::Delivered && progress.status / 100 == 2;
    end.tokens = progress.events * progress.dispatch.tokensPerEvent;
    end.output = std::move(progress.output);
    end.status = progress.status;
    const std::string &failureReason = progress.observation.failureReason.empty()
        ? progress.previousFailureReason
        : progress.observation.failureReason;
    end.outcome = attemptResult == AttemptResult::Delivered ? "answered"
        : channel.isDisconnected() || attemptResult == AttemptResult::CallerGone
        ? "caller-gone"
        : "failed:" + failureReason;
    const CallHandle handle = progress.dispatch.handle;
    const ReplicaObservation observation = progress.observation;
    asio::post(m_control,
               [this, handle, observation] { m_scheduler.endReplicaAttempt(handle, observation); });
    const bool recorded = co_await close(handle, end);
    if (channel.isDisconnected() || attemptResult == AttemptResult::CallerGone) {
        m_counters.callerGone += 1;
        channel.abort();
        co_return;
    }
    if (attemptResult == AttemptResult::Delivered) {
        m_counters.served += 1;
        const std::chrono::duration<double> elapsed = m_clock.now() - progress.startedAt;
        m_counters.latencies.observe(progress.isStream ? "boragepath_stream_seconds"
                                                       : "boragepath_call_seconds",
                                     elapsed.count());
        if (!progress.isStream) {
            co_return;
        }
        if (recorded) {
            co_await channel.endChunked();
        } else {
            channel.abort();
        }
        co_return;
    }
    m_counters.failed += 1;
    if (progress.responseStarted) {
        channel.abort();
        co_return;
    }
    if (progress.possibleRuns == 0) {
        const CallRefusal refusal{CallRefusalReason::NoReplica, NoReplicaRetryAfter};
        co_await channel.sendRefusal(refusal);
        co_return;
    }
    co_await channel.sendFailure(m_clock.now() >= progress.dispatch.deadline);
}

} // namespace boragepath
