#include "backends/call_forwarder.h"

#include "core/logging.h"
#include "net/control_call.h"
#include "net/event_stream_parser.h"

namespace boragepath {

namespace asio = boost::asio;

namespace {

/** A live replica answers a connection in milliseconds, also across zones. */
constexpr Milliseconds ConnectLimit{350};
/** Calls that may be repeated wait this long for a sign of life before they move on. */
constexpr Milliseconds ShortestSilence{250};
constexpr Milliseconds StreamSilence{900};
constexpr int SilenceObjectives = 4;
/** A replica closes idle connections; reuse ends well before that. */
constexpr Milliseconds DefaultIdleLimit{4'000};
constexpr Milliseconds IdleMargin{800};
/** Calls that run once take only connections that were in use just now. */
constexpr Milliseconds FreshForOnceOnly{1'000};
/** Answers to earlier calls that may stand in front of the one awaited. */
constexpr int MaxLateAnswers = 2;
constexpr std::size_t MaxWholeAnswerBytes = 8UL * 1024 * 1024;
constexpr unsigned FirstServerError = 500;
/** Another replica, or this one, is likely free by then. */
constexpr Milliseconds RefusedRetryAfter{150};

bool isSuccess(unsigned status)
{
    return status / 100 == 2;
}

} // namespace

enum class CallForwarder::Step {
    Delivered, ///< The caller has the whole answer, but for the end of a kept turn.
    NotRun, ///< The replica cannot have run it.
    Broken, ///< The replica may have run it; no whole answer came.
    CallerGone,
    DeadlineExceeded,
};

struct CallForwarder::Progress
{
    const IncomingCall &call;
    const ReplicaCodec &codec;
    CallerChannel &channel;
    CallDispatch dispatch;
    SteadyTime startedAt;
    ReplicaObservation observation = ReplicaObservation();
    /** Replicas that may have run the call. */
    int runs = 0;
    /** The caller has been sent the head of an answer. */
    bool began = false;
    bool streamed = false;
    std::int64_t events = 0;
    std::optional<std::int64_t> lastEventId = std::nullopt;
    std::string output = std::string();
    unsigned status = 0;
    /** What went wrong at the replica before, for the log. */
    std::string earlierTrouble = std::string();

    bool repeatable() const
    {
        const RoutePolicy &route = *dispatch.route;
        return route.kind == RequestKind::Idempotent
            || (route.kind == RequestKind::Stream && route.resumable);
    }
    bool mayRunAgain() const { return repeatable() && runs < dispatch.route->maxReplicas; }
};

CallForwarder::CallForwarder(asio::io_context &control, CallScheduler &scheduler,
                             ReplicaConnectionPool &links, const Clock &clock,
                             ForwardCounters &counters)
    : m_control(control)
    , m_scheduler(scheduler)
    , m_replicaConnections(links)
    , m_clock(clock)
    , m_counters(counters)
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

asio::awaitable<void> CallForwarder::serve(IncomingCall call, ReplicaCodec codec,
                                           std::shared_ptr<CallerChannel> channel)
{
    const SteadyTime startedAt = m_clock.now();
    CallDecision decision = co_await open(call);
    if (const auto *refusal = std::get_if<CallRefusal>(&decision)) {
        m_counters.refused += 1;
        co_await channel->refuse(*refusal);
        co_return;
    }
    Progress progress{call, codec, *channel, std::get<CallDispatch>(decision), startedAt};
    for (;;) {
        const Step step = co_await runOnce(progress);
        const bool movesOn =
            step == Step::NotRun || (step == Step::Broken && progress.mayRunAgain());
        if (!movesOn || channel->gone() || m_clock.now() >= progress.dispatch.deadline) {
            co_await finish(progress, step);
            co_return;
        }
        const CallHandle handle = progress.dispatch.handle;
        decision = co_await retryOnOtherReplica(handle, progress.observation);
        progress.earlierTrouble = progress.observation.failureReason;
        progress.observation = {};
        if (const auto *next = std::get_if<CallDispatch>(&decision)) {
            progress.dispatch = *next;
            continue;
        }
        if (progress.runs > 0) {
            co_await finish(progress, Step::Broken);
            co_return;
        }
        CallCompletion end;
        end.refusal = std::get<CallRefusal>(decision).reason;
        end.outcome = std::string(refusalReasonName(*end.refusal));
        co_await close(handle, end);
        m_counters.refused += 1;
        co_await channel->refuse(std::get<CallRefusal>(decision));
        co_return;
    }
}

asio::awaitable<std::shared_ptr<ReplicaConnection>>
CallForwarder::connect(const CallDispatch &dispatch)
{
    const bool onceOnly = dispatch.route->kind != RequestKind::Idempotent;
    const Duration freshness = onceOnly ? FreshForOnceOnly : Duration(DefaultIdleLimit * 10);
    std::shared_ptr<ReplicaConnection> link =
        m_replicaConnections.takeIdle(dispatch.replica.endpoint, freshness);
    if (link != nullptr) {
        co_return link;
    }
    link = m_replicaConnections.makeLink();
    m_counters.replicaConnections += 1;
    if (!co_await link->connect(dispatch.replica.endpoint, ConnectLimit)) {
        link.reset();
    }
    co_return link;
}

SteadyTime CallForwarder::silenceEnd(const Progress &progress) const
{
    const CallDispatch &dispatch = progress.dispatch;
    // The last run that is allowed gets all the time there is.
    if (!progress.repeatable() || progress.runs >= dispatch.route->maxReplicas) {
        return dispatch.deadline;
    }
    const Milliseconds silence = dispatch.route->kind == RequestKind::Stream
        ? StreamSilence
        : std::max(ShortestSilence, dispatch.route->latencyObjective * SilenceObjectives);
    return std::min(dispatch.deadline, m_clock.now() + silence);
}

asio::awaitable<CallForwarder::Step> CallForwarder::runOnce(Progress &progress)
{
    using Outcome = ReplicaObservation::Outcome;
    const CallDispatch &dispatch = progress.dispatch;
    const std::shared_ptr<ReplicaConnection> link = co_await connect(dispatch);
    if (link == nullptr) {
        progress.observation.outcome = Outcome::Unreachable;
        progress.observation.failureReason = "unreachable";
        co_return Step::NotRun;
    }
    if (progress.channel.gone()) {
        m_replicaConnections.giveBack(dispatch.replica.endpoint, link, DefaultIdleLimit);
        co_return Step::CallerGone;
    }
    const auto timeLeft =
        std::chrono::duration_cast<Milliseconds>(dispatch.deadline - m_clock.now());
    if (timeLeft <= Milliseconds(0)) {
        co_return Step::DeadlineExceeded;
    }
    const std::weak_ptr<ReplicaConnection> watched = link;
    progress.channel.onGone([watched] {
        if (const auto open = watched.lock()) {
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
        progress.codec.requestHead(dispatch.replica, timeLeft, bodyBytes, progress.lastEventId);
    const SteadyTime sentAt = m_clock.now();
    progress.runs += 1;
    ReplyHead reply;
    const bool sent = co_await link->send(head, body, dispatch.deadline);
    if (!sent || !co_await readOwnHead(progress, *link, reply)) {
        progress.observation.outcome = Outcome::Failed;
        progress.observation.failureReason = sent ? "no answer" : "send failed";
        link->close();
        co_return progress.channel.gone() ? Step::CallerGone : Step::Broken;
    }
    progress.observation.load = reply.load;
    if (reply.notRun) {
        progress.runs -= 1;
        progress.observation.outcome = Outcome::Declined;
        progress.observation.wrongReplica = reply.wrongReplica;
        progress.observation.failureReason = reply.wrongReplica ? "other replica" : "declined";
        link->close();
        co_return Step::NotRun;
    }
    const bool broken = (isSuccess(reply.status) && !reply.vouched) || reply.encoded;
    if (broken) {
        progress.observation.outcome = Outcome::Failed;
        progress.observation.failureReason = "not the replica's own answer";
        link->close();
        co_return Step::Broken;
    }
    Step step = Step::Broken;
    if (reply.isEventStream && isSuccess(reply.status)) {
        step = co_await passEvents(progress, *link, reply);
    } else {
        step = co_await passWhole(progress, *link, reply);
    }
    if (step == Step::Delivered && !progress.observation.latency.has_value()) {
        progress.observation.latency = m_clock.now() - sentAt;
    }
    if (step == Step::Broken) {
        progress.observation.outcome = Outcome::Failed;
    }
    if (step == Step::Delivered && link->reusable()) {
        const Duration idle = reply.idleLimit.value_or(DefaultIdleLimit);
        m_replicaConnections.giveBack(dispatch.replica.endpoint, link,
                                      std::max<Duration>(idle - IdleMargin, idle / 2));
    } else {
        link->close();
    }
    co_return step;
}

/** Reads the head that answers this call, past answers that came too late for earlier ones. */
asio::awaitable<bool> CallForwarder::readOwnHead(Progress &progress, ReplicaConnection &link,
                                                 ReplyHead &head)
{
    for (int late = 0; late <= MaxLateAnswers; ++late) {
        HttpResponse response;
        if (!co_await link.readHead(response, silenceEnd(progress))) {
            co_return false;
        }
        head = progress.codec.readHead(response);
        if (head.answersCall) {
            co_return true;
        }
        link.spoil();
        std::string discarded;
        while (!link.done()) {
            if (!co_await link.readSome(discarded, silenceEnd(progress))) {
                co_return false;
            }
            discarded.clear();
        }
    }
    co_return false;
}

asio::awaitable<CallForwarder::Step>
CallForwarder::passWhole(Progress &progress, ReplicaConnection &link, const ReplyHead &head)
{
    std::string body;
    while (!link.done()) {
        if (!co_await link.readSome(body, silenceEnd(progress))
            || body.size() > MaxWholeAnswerBytes) {
            progress.observation.failureReason = "answer broke off";
            co_return progress.channel.gone() ? Step::CallerGone : Step::Broken;
        }
    }
    if (progress.began) {
        // A stream that was to go on cannot end in an answer of another kind.
        progress.observation.failureReason = "could not be resumed";
        co_return Step::Broken;
    }
    if (head.status >= FirstServerError && progress.mayRunAgain()) {
        progress.observation.failureReason = "server error";
        co_return Step::Broken;
    }
    progress.status = head.status;
    const unsigned promises[] = {408, 421, 429, 503};
    for (const unsigned promise : promises) {
        if (head.status == promise) {
            // The replica did not say that it has not run the call, so neither may we.
            progress.observation.failureReason = "unclear refusal";
            co_return Step::Broken;
        }
    }
    co_await progress.channel.answer(head.status, head.fields, body);
    co_return Step::Delivered;
}

asio::awaitable<bool> CallForwarder::passEvent(Progress &progress, const ReplyHead &head,
                                               const std::string &text)
{
    if (!progress.began) {
        progress.began = true;
        progress.status = head.status;
        const bool begun = co_await progress.channel.begin(head.status, head.fields);
        if (!begun) {
            co_return false;
        }
    }
    co_return co_await progress.channel.part(text);
}

asio::awaitable<CallForwarder::Step>
CallForwarder::passEvents(Progress &progress, ReplicaConnection &link, const ReplyHead &head)
{
    progress.streamed = true;
    EventStreamParser scanner;
    std::string bytes;
    const SteadyTime startedAt = m_clock.now();
    SteadyTime firstAt;
    SteadyTime lastAt;
    std::int64_t eventsHere = 0;
    const bool keepsOutput = progress.dispatch.route->storesTurns;
    for (;;) {
        while (std::optional<StreamEvent> event = scanner.next()) {
            const bool repeated = event->id.has_value() && progress.lastEventId.has_value()
                && *event->id <= *progress.lastEventId;
            if (repeated) {
                continue;
            }
            if (!co_await passEvent(progress, head, event->text)) {
                co_return Step::CallerGone;
            }
            lastAt = m_clock.now();
            if (eventsHere == 0) {
                firstAt = lastAt;
                progress.observation.latency = firstAt - startedAt;
            }
            eventsHere += 1;
            progress.events += 1;
            if (event->id.has_value()) {
                progress.lastEventId = event->id;
            }
            if (keepsOutput) {
                progress.output += event->data;
                progress.output += '\n';
            }
        }
        if (link.done()) {
            break;
        }
        bytes.clear();
        if (!co_await link.readSome(bytes, silenceEnd(progress))) {
            progress.observation.failureReason = "stream broke off";
            co_return progress.channel.gone() ? Step::CallerGone : Step::Broken;
        }
        scanner.add(bytes);
    }
    if (eventsHere > 1) {
        progress.observation.eventInterval = (lastAt - firstAt) / (eventsHere - 1);
    }
    if (scanner.hasPartialEvent()) {
        progress.observation.failureReason = "ended within an event";
        co_return Step::Broken;
    }
    if (!progress.began && !co_await passEvent(progress, head, "")) {
        co_return Step::CallerGone;
    }
    co_return Step::Delivered;
}

asio::awaitable<void> CallForwarder::finish(Progress &progress, Step step)
{
    CallerChannel &channel = progress.channel;
    CallCompletion end;
    end.answerComplete = step == Step::Delivered && progress.status / 100 == 2;
    end.tokens = progress.events * progress.dispatch.tokensPerEvent;
    end.output = std::move(progress.output);
    end.status = progress.status;
    const std::string &failureReason = progress.observation.failureReason.empty()
        ? progress.earlierTrouble
        : progress.observation.failureReason;
    end.outcome = step == Step::Delivered            ? "answered"
        : channel.gone() || step == Step::CallerGone ? "caller-gone"
                                                     : "failed:" + failureReason;
    const CallHandle handle = progress.dispatch.handle;
    const ReplicaObservation observation = progress.observation;
    asio::post(m_control,
               [this, handle, observation] { m_scheduler.endReplicaAttempt(handle, observation); });
    const bool recorded = co_await close(handle, end);
    if (channel.gone() || step == Step::CallerGone) {
        m_counters.callerGone += 1;
        channel.cut();
        co_return;
    }
    if (step == Step::Delivered) {
        m_counters.served += 1;
        const std::chrono::duration<double> taken = m_clock.now() - progress.startedAt;
        m_counters.latencies.observe(progress.streamed ? "boragepath_stream_seconds"
                                                       : "boragepath_call_seconds",
                                     taken.count());
        if (!progress.streamed) {
            co_return;
        }
        if (recorded) {
            co_await channel.end();
        } else {
            channel.cut();
        }
        co_return;
    }
    m_counters.failed += 1;
    if (progress.began) {
        channel.cut();
        co_return;
    }
    if (progress.runs == 0) {
        const CallRefusal refusal{CallRefusalReason::NoReplica, RefusedRetryAfter};
        co_await channel.refuse(refusal);
        co_return;
    }
    co_await channel.fail(m_clock.now() >= progress.dispatch.deadline);
}

} // namespace boragepath
