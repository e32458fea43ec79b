#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "net/http_types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace boragepath {

/** Faults of a replica, as probabilities per answer from 0 to 1. */
struct ReplicaFaults
{
    /** Runs the request and closes the connection without an answer. */
    double losesAnswers = 0;
    /** Closes the connection in the middle of an answer. */
    double truncatesAnswers = 0;
    /** Sends an answer to another request before or after its own. */
    double sendsExtraAnswers = 0;
    /** Refuses after the request has run, without the header that says it was not executed. */
    double refusesAfterRun = 0;
    /** Refuses before the request has run, and truthfully says that it was not executed. */
    double refusesBeforeRun = 0;
    /** Delay before each event and answer. */
    Milliseconds delay{0};
};

/** What a replica registers under. */
struct ReplicaIdentity
{
    std::string id;
    /** Version of its software; streams of two versions do not fit together. */
    std::string version;
};

/** What a request says to a replica about its caller. */
struct CallerIdentity
{
    /** Values of all fields Tenant. */
    std::vector<std::string> tenants;
    /** It has a field Credential, which proxies must remove. */
    bool hasCredential = false;
};

CallerIdentity callerIdentityOf(const HttpRequest &request);

/** A request that a replica ran. */
struct ReplicaRun
{
    std::string attempt;
    CallerIdentity caller;
};

/** The answers of replicas, computed from the request's id so that any side can check them. */
struct ReplicaAnswers
{
    /** Number of events of a stream that began with the request @p firstAttempt. */
    static int eventCount(const std::string &firstAttempt);
    /** Data of one event of a stream as a replica of @p version writes it; numbered from 1. */
    static std::string eventData(const std::string &firstAttempt, const std::string &version,
                                 int number);
    /** The version that wrote an event's data; empty if the data is not a replica's. */
    static std::string versionOf(const std::string &eventData);
    /** The field Replica-Seal of a replica, which names it. */
    static std::string seal(const std::string &replica);
    /** The replica that a seal names. */
    static std::string replicaOf(const std::string &seal);
    /** Body of an answer that is not a stream. */
    static std::string fullBody(const std::string &attempt);
};

/**
 * Simulates a model replica or a plain service that speaks the platform's protocol. Not
 * thread-safe.
 *
 * Paths that begin with "/turn/" or "/read/" are answered with a stream. Answers depend on the
 * request's id alone, so that they can be checked anywhere.
 */
class PlatformReplica
{
public:
    /** Called for each request when it begins to run. */
    using OnRequestRun =
        std::function<void(const HttpRequest &request, const std::string &replica)>;

    /** Called when a run ends; @p brokeOff if the replica was stopped before. */
    using OnRunEnd = std::function<void(const HttpRequest &request, bool brokeOff)>;

    PlatformReplica(boost::asio::io_context &context, const Endpoint &endpoint,
                    ReplicaIdentity identity, OnRequestRun onRequestRun, std::uint64_t seed);

    ReplicaFaults &faults() { return m_faults; }
    const std::string &id() const { return m_identity.id; }
    const std::string &version() const { return m_identity.version; }
    /** From now on, all answers say that the replica leaves. */
    void announceLeaving() { m_leaving = true; }
    /** From now on, all answers name this limit in requests a second, or none. */
    void nameLimit(std::optional<double> perSecond) { m_limit = perSecond; }
    /** Sets what ends the replica's process when it runs a request that crashes it. */
    void onCrash(std::function<void()> task) { m_onCrash = std::move(task); }
    /** Sets a task to run for each request that arrives, also if it is refused. */
    void onReceive(OnRequestRun task) { m_onReceive = std::move(task); }
    /** Sets a task to run when a run ends. */
    void onRunEnd(OnRunEnd task) { m_onRunEnd = std::move(task); }
    /** The requests that it ran, in order; the oldest are dropped beyond 10,000. */
    const std::deque<ReplicaRun> &runs() const { return m_runs; }
    /** Requests that it runs at a time. */
    static constexpr int Slots = 8;
    /** Part of the targets of requests that take replicas long. */
    static constexpr const char *SlowMark = "/slow";
    /** True if replicas crash when they run requests to the target. */
    static bool crashesReplicas(const std::string &target);
    /** Closes all connections and accepts no new ones. */
    void stop();

private:
    using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(Socket socket);
    boost::asio::awaitable<bool> handleRequest(Socket socket, const HttpRequest &request);
    /** Runs a request and answers it; @return false if its connection ends with that. */
    boost::asio::awaitable<bool> run(Socket socket, const HttpRequest &request);
    boost::asio::awaitable<bool> sendAnswer(Socket socket, const HttpRequest &request);
    boost::asio::awaitable<bool> sendStream(Socket socket, const HttpRequest &request);
    bool withProbability(double probability);
    std::string responseHead(const std::string &status, const std::string &attempt,
                             bool hasSeal) const;
    /** Refusal that states that the request was not executed. */
    std::string refusal(const std::string &status, const std::string &attempt) const;
    std::string completeResponse(const std::string &attempt, const std::string &body) const;

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    ReplicaIdentity m_identity;
    OnRequestRun m_onRequestRun;
    OnRequestRun m_onReceive;
    OnRunEnd m_onRunEnd = [](const HttpRequest &, bool) {};
    std::function<void()> m_onCrash;
    std::deque<ReplicaRun> m_runs;
    ReplicaFaults m_faults;
    std::mt19937_64 m_random;
    std::vector<std::weak_ptr<boost::asio::ip::tcp::socket>> m_sockets;
    int m_running = 0;
    bool m_stopped = false;
    bool m_leaving = false;
    std::optional<double> m_limit;
};

} // namespace boragepath
