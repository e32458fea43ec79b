#pragma once

#include "backends/replica_connection.h"
#include "control/call_scheduler.h"
#include "core/metrics.h"
#include "net/event_stream_parser.h"
#include "net/http_types.h"
#include "net/receive_budget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boragepath {

/** The head of a replica's response, decoded independently of the header names on the wire. */
struct ReplicaResponseHead
{
    unsigned status = 0;
    /** The response belongs to this call, not to an earlier one on the same connection. */
    bool matchesCall = false;
    /** The replica states that it has not run the call. */
    bool notExecuted = false;
    /** Another replica uses the address now. */
    bool wrongReplica = false;
    /** The replica marked the response as its own; a success without that mark is not from it. */
    bool hasSeal = false;
    /** The body has a content encoding, which was not requested. */
    bool hasContentEncoding = false;
    bool isEventStream = false;
    /** The replica is about to stop and must get no new calls. */
    bool replicaLeaves = false;
    /** What the answer says about the requests that the replica takes from all VMs. */
    LimitStatement limit;
    std::optional<ReportedLoad> load;
    /** How long the replica keeps an idle connection open, if it says so. */
    std::optional<Duration> keepAliveTimeout;
    /** Header fields to forward to the caller. */
    std::vector<HttpField> fields;
};

/** Encodes a call for a replica and decodes its response; hides the header names on the wire. */
struct ReplicaCodec
{
    /**
     * Returns the request head, including the final blank line, for a body of @p bodyBytes.
     * With @p resumeAfter the stream is to continue after the event of that id.
     */
    std::function<std::string(const CallDispatch &dispatch, Milliseconds timeLeft,
                              std::size_t bodyBytes, std::optional<std::int64_t> resumeAfter)>
        requestHead;
    /** @p isFirst: no request was sent on the connection before this one. */
    std::function<ReplicaResponseHead(const HttpResponse &response, bool isFirst)> readHead;
};

/** Sends the response of one call to its caller. */
class CallerChannel
{
public:
    virtual ~CallerChannel() = default;

    /** Sends a complete response. */
    virtual boost::asio::awaitable<void> sendResponse(unsigned status,
                                                      const std::vector<HttpField> &fields,
                                                      const std::string &body) = 0;
    /** Starts a response whose body follows in chunks; false if the caller is disconnected. */
    virtual boost::asio::awaitable<bool> beginChunked(unsigned status,
                                                      const std::vector<HttpField> &fields) = 0;
    /** Sends part of the body, after the head if that is still to be sent; false on failure. */
    virtual boost::asio::awaitable<bool> sendChunk(const std::string &bytes) = 0;
    /** Ends a chunked body as complete; false on failure. */
    virtual boost::asio::awaitable<bool> endChunked() = 0;
    /** Ends the response by closing the connection, so that it cannot look complete. */
    virtual void abort() = 0;
    /** The caller has closed its connection. */
    virtual bool isDisconnected() const = 0;
    /** Sets the task to run when the caller closes its connection while the call runs. */
    virtual void onDisconnect(std::function<void()> task) = 0;
    /** Refuses the call: it has not run and will not run. */
    virtual boost::asio::awaitable<void> sendRefusal(const CallRefusal &refusal) = 0;
    /** Tells the caller that the call may have run but has no response. */
    virtual boost::asio::awaitable<void> sendFailure(bool deadlineExceeded) = 0;
};

/** Counters for the metrics page; written by traffic threads. */
struct ForwardCounters
{
    std::atomic<std::uint64_t> served = 0;
    std::atomic<std::uint64_t> refused = 0;
    std::atomic<std::uint64_t> failed = 0;
    std::atomic<std::uint64_t> callerGone = 0;
    std::atomic<std::uint64_t> replicaConnections = 0;
    /** Answers in which replicas said that they leave. */
    std::atomic<std::uint64_t> leavingAnswers = 0;
    /** Answers in which replicas named a limit on their requests, and those that named none that
     * can be read. */
    std::atomic<std::uint64_t> limitedAnswers = 0;
    std::atomic<std::uint64_t> unreadableLimits = 0;
    /** Requests sent to replicas that were known to have a limit. */
    std::atomic<std::uint64_t> requestsUnderLimit = 0;
    /** Requests under which the process of their replica ended. */
    std::atomic<std::uint64_t> requestsEndedWithReplica = 0;
    /** Calls that were refused as replica after replica had ended under requests for the same. */
    std::atomic<std::uint64_t> quarantinedCalls = 0;
    /** Calls without an API key that the configuration knows. */
    std::atomic<std::uint64_t> unauthorizedCalls = 0;
    /** Calls beyond the quota of their organisation. */
    std::atomic<std::uint64_t> overQuotaCalls = 0;
    /** Calls that were refused as the API keys were not known to be in force any more. */
    std::atomic<std::uint64_t> unconfirmedKeyCalls = 0;
    /** First turns of programs refused because others need all slots. */
    std::atomic<std::uint64_t> overloadedCalls = 0;
    /** Durations of served calls and streams. */
    Metrics latencies;
};

/**
 * Forwards calls to replicas and their responses to callers.
 *
 * Carries out the decisions of CallScheduler on a traffic thread: connects, sends,
 * forwards events as they arrive, and retries on another replica where the route allows it.
 */
class CallForwarder
{
public:
    /** @param received limits what is held of the answers of all replicas together. */
    CallForwarder(boost::asio::io_context &control, CallScheduler &scheduler,
                  ReplicaConnectionPool &connectionPool, const Clock &clock,
                  ForwardCounters &counters, ReceiveBudget &received);

    const Clock &clock() const { return m_clock; }
    /** Serves one call until its response has ended or it was refused. */
    boost::asio::awaitable<void> serve(IncomingCall call, ReplicaCodec codec,
                                       std::shared_ptr<CallerChannel> channel);

private:
    struct Progress;
    enum class AttemptResult;

    boost::asio::awaitable<CallDecision> open(const IncomingCall &call);
    boost::asio::awaitable<CallDecision> retryOnOtherReplica(CallHandle handle,
                                                             const ReplicaObservation &observation);
    boost::asio::awaitable<bool> close(CallHandle handle, const CallCompletion &end);
    /** Makes other VMs know an event before the caller gets it. */
    boost::asio::awaitable<void> noteOutput(CallHandle handle, const StreamEvent &event);
    boost::asio::awaitable<std::shared_ptr<ReplicaConnection>>
    connect(const CallDispatch &dispatch);
    /** Runs the attempt, and finds out whether the replica ended under it. */
    boost::asio::awaitable<AttemptResult> runOnReplica(Progress &progress);
    /** Sends the request, and passes the answer on to the caller. */
    boost::asio::awaitable<AttemptResult>
    sendToReplica(Progress &progress, std::shared_ptr<ReplicaConnection> connection);
    /** True if nobody listens at the address any more. */
    boost::asio::awaitable<bool> hasEnded(Endpoint replica);
    boost::asio::awaitable<bool> readMatchingHead(Progress &progress, ReplicaConnection &connection,
                                                  ReplicaResponseHead &head);
    void countRefusal(const CallRefusal &refusal);
    /** Tells the scheduler that the replica of this attempt leaves. */
    void noteReplicaLeaving(const Progress &progress);
    /** Tells the scheduler which limit the replica of this attempt names, if it names one. */
    void noteReplicaLimit(const Progress &progress, const LimitStatement &statement);
    void noteReplicaReport(const Progress &progress, const ReplicaResponseHead &head);
    boost::asio::awaitable<AttemptResult> forwardBufferedResponse(Progress &progress,
                                                                  ReplicaConnection &connection,
                                                                  const ReplicaResponseHead &head);
    boost::asio::awaitable<AttemptResult> forwardEventStream(Progress &progress,
                                                             ReplicaConnection &connection,
                                                             const ReplicaResponseHead &head);
    boost::asio::awaitable<bool> sendEvent(Progress &progress, const ReplicaResponseHead &head,
                                           const std::string &text);
    boost::asio::awaitable<void> finishCall(Progress &progress, AttemptResult attemptResult);
    SteadyTime silenceDeadline(const Progress &progress) const;

    boost::asio::io_context &m_control;
    CallScheduler &m_scheduler;
    ReplicaConnectionPool &m_replicaConnections;
    const Clock &m_clock;
    ForwardCounters &m_counters;
    ReceiveBudget &m_received;
};

} // namespace boragepath
