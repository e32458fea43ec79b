#pragma once

#include "backends/replica_connection.h"
#include "control/call_scheduler.h"
#include "core/metrics.h"
#include "net/http_types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boragepath {

/** What the head of a replica's response says, whatever its wire names are. */
struct ReplyHead
{
    unsigned status = 0;
    /** It answers this call, not an earlier one on the connection. */
    bool answersCall = false;
    /** The replica states that it has not run the call. */
    bool notRun = false;
    /** Another replica has the address now. */
    bool wrongReplica = false;
    /** The replica vouches for the body; successes without it are not its own. */
    bool vouched = false;
    /** The body is encoded in a way that nobody asked for. */
    bool encoded = false;
    bool isEventStream = false;
    std::optional<ReportedLoad> load;
    /** How long the replica keeps the connection open when idle. */
    std::optional<Duration> idleLimit;
    /** To be passed on to the caller. */
    std::vector<HttpField> fields;
};

/** How a call is written to a replica and its response read; the wire's names stay behind it. */
struct ReplicaCodec
{
    /** The request's head, blank line included, for a body of @p bodyBytes. */
    std::function<std::string(const ReplicaEntry &replica, Milliseconds timeLeft,
                              std::size_t bodyBytes, std::optional<std::int64_t> resumeAfter)>
        requestHead;
    std::function<ReplyHead(const HttpResponse &response)> readHead;
};

/** The caller's side of one call. */
class CallerChannel
{
public:
    virtual ~CallerChannel() = default;

    /** Sends a whole answer. */
    virtual boost::asio::awaitable<void>
    answer(unsigned status, const std::vector<HttpField> &fields, const std::string &body) = 0;
    /** Sends the head of an answer whose body follows in parts. */
    virtual boost::asio::awaitable<bool> begin(unsigned status,
                                               const std::vector<HttpField> &fields) = 0;
    virtual boost::asio::awaitable<bool> part(const std::string &bytes) = 0;
    /** Ends a body in parts as complete. */
    virtual boost::asio::awaitable<bool> end() = 0;
    /** Ends it so that it can't look complete. */
    virtual void cut() = 0;
    /** The caller has closed its connection. */
    virtual bool gone() const = 0;
    /** Called once when the caller closes its connection while the call runs. */
    virtual void onGone(std::function<void()> task) = 0;
    /** Refuses the call; it has not run and never will. */
    virtual boost::asio::awaitable<void> refuse(const CallRefusal &refusal) = 0;
    /** Says that the call may have run and has no answer. */
    virtual boost::asio::awaitable<void> fail(bool outOfTime) = 0;
};

/** Counts for the metrics page; written by traffic threads. */
struct ForwardCounters
{
    std::atomic<std::uint64_t> served = 0;
    std::atomic<std::uint64_t> refused = 0;
    std::atomic<std::uint64_t> failed = 0;
    std::atomic<std::uint64_t> callerGone = 0;
    std::atomic<std::uint64_t> replicaConnections = 0;
    /** Times of served calls, and to the first event of streams. */
    Metrics latencies;
};

/**
 * Takes calls to replicas and their answers to callers.
 *
 * Carries out what CallScheduler decides, on a traffic thread: connects, sends,
 * passes events on as they arrive, moves on where the route allows it.
 */
class CallForwarder
{
public:
    CallForwarder(boost::asio::io_context &control, CallScheduler &scheduler,
                  ReplicaConnectionPool &links, const Clock &clock, ForwardCounters &counters);

    const Clock &clock() const { return m_clock; }
    /** Serves one call to its end. */
    boost::asio::awaitable<void> serve(IncomingCall call, ReplicaCodec codec,
                                       std::shared_ptr<CallerChannel> channel);

private:
    struct Progress;
    enum class Step;

    boost::asio::awaitable<CallDecision> open(const IncomingCall &call);
    boost::asio::awaitable<CallDecision> retryOnOtherReplica(CallHandle handle,
                                                             const ReplicaObservation &observation);
    boost::asio::awaitable<bool> close(CallHandle handle, const CallCompletion &end);
    boost::asio::awaitable<std::shared_ptr<ReplicaConnection>>
    connect(const CallDispatch &dispatch);
    boost::asio::awaitable<Step> runOnce(Progress &progress);
    boost::asio::awaitable<bool> readOwnHead(Progress &progress, ReplicaConnection &link,
                                             ReplyHead &head);
    boost::asio::awaitable<Step> passWhole(Progress &progress, ReplicaConnection &link,
                                           const ReplyHead &head);
    boost::asio::awaitable<Step> passEvents(Progress &progress, ReplicaConnection &link,
                                            const ReplyHead &head);
    boost::asio::awaitable<bool> passEvent(Progress &progress, const ReplyHead &head,
                                           const std::string &text);
    boost::asio::awaitable<void> finish(Progress &progress, Step step);
    SteadyTime silenceEnd(const Progress &progress) const;

    boost::asio::io_context &m_control;
    CallScheduler &m_scheduler;
    ReplicaConnectionPool &m_replicaConnections;
    const Clock &m_clock;
    ForwardCounters &m_counters;
};

} // namespace boragepath
