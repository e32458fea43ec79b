#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "net/http_types.h"
#include "soak/call_facts.h"
#include "soak/fault_history.h"
#include "soak/organisations.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace boragepath::soak {

/** Execution guarantee of a request. */
enum class CallKind {
    AtMostOnce, ///< Runs at most once.
    Idempotent, ///< May run on several replicas.
    ResumableStream, ///< May be resumed on another replica.
    StoredTurn, ///< Runs at most once; its conversation is stored.
};

/** True if calls of this kind use the route that is public when there are organisations. */
inline bool usesPublicRoute(CallKind kind)
{
    return kind == CallKind::Idempotent;
}

/** True if the status guarantees that the request has not run and never will. */
bool meansNotRun(unsigned status);

/** What a caller has received of a stream. */
struct ReceivedStream
{
    /** The attempt that brought the first event. */
    std::string firstAttempt;
    /** The software version that wrote the events. */
    std::string version;
    int events = 0;
};

/** One request as a caller sends it; each retry is a separate attempt. */
struct Attempt
{
    CallKind kind = CallKind::AtMostOnce;
    std::string program;
    std::string input;
    std::string previousTurn;
    std::int64_t budget = 0;
    /** Upper bound of the tokens in the answer; 0 for tool calls. */
    std::int64_t maxTokens = 0;
    /** Set if the attempt goes on with a stream that broke off. */
    std::optional<ReceivedStream> received;
    /** API key of the caller's organisation; empty if it sends none. */
    std::string key{};
    /** The first try of the same call; empty if it is the first. */
    std::string firstTry{};
};

/** Result of an attempt as its caller saw it. */
struct AttemptResult
{
    /** HTTP status, or 0 if no answer arrived. */
    unsigned status = 0;
    /** The answer was received to its end. */
    bool complete = false;
    /** The answer has the Replica-Seal header, which only replicas set. */
    bool hasSeal = false;
    std::string body;
};

/**
 * Checks the guarantees given to callers, using only what callers and replicas observe.
 *
 * Each violation is one line that names the request, so that the request can be traced in
 * the logs.
 */
class InvariantChecker
{
public:
    explicit InvariantChecker(const Clock &clock);

    /** Records a request that a caller is about to send to the VM at @p front. */
    void recordSent(const std::string &id, const Attempt &attempt, const Endpoint &front);
    /** Records that a replica began to run a request, and checks that this was allowed. */
    void recordRun(const HttpRequest &request, const std::string &replica);
    /**
     * Records what a caller received for a request, and checks it.
     *
     * @return the events of the stream that the caller has now, if it is one.
     */
    std::optional<ReceivedStream> recordResult(const std::string &id, const AttemptResult &result);
    /** Records how the connection of a request ended, before its result is recorded. */
    void recordConnection(const std::string &id, const ConnectionFacts &connection);
    /** A run at a replica ended; @p brokeOff if the replica was stopped before. */
    void recordRunEnd(const HttpRequest &request, const std::string &replica, bool brokeOff);
    /** The injected faults, which are recorded here as they begin and end. */
    FaultHistory &faults() { return m_faults; }
    /** A VM passed on an answer in which a replica says that it leaves. */
    void recordLeavingAnswer(const Endpoint &front, const std::string &replica);
    /** A replica names a limit in its answers from now on, or none any more. */
    void recordLimit(const std::string &replica, std::optional<double> perSecond);
    /** A VM passed on an answer in which a replica names a limit. */
    void recordLimitedAnswer(const Endpoint &front, const std::string &replica);
    /**
     * A VM got a signal or was started; it may have forgotten what it knew. It does not run
     * afterwards if @p paused.
     */
    void recordVmDisruption(const Endpoint &front, bool paused);
    /** The store, or only the link of the VM at @p front to it, begins or ceases to be disrupted.
     */
    void recordStoreDisruption(const std::optional<Endpoint> &front, bool begins);
    /** The store confirmed a version of the configuration with these organisations. */
    void recordConfiguration(const std::vector<OrganisationEntry> &entries);
    /** Checks that a log or a row contains no API key. */
    void checkHasNoKey(const std::string &place, const std::string &text);
    /** Checks a request that reached a replica, whether or not it runs. */
    void recordReceived(const HttpRequest &request, const std::string &replica);
    /** A replica started, perhaps under an id that was used before. */
    void recordReplicaStart(const std::string &replica);
    /** Runs the checks that are possible only after all requests have ended. */
    void finish();

    const std::vector<std::string> &violations() const { return m_violations; }
    const std::map<std::string, int> &counts() const { return m_counts; }
    /** The conversation up to and including a turn; empty if the turn was not fully answered. */
    std::string conversation(const std::string &turn) const;

private:
    struct Record
    {
        Attempt attempt;
        int runs = 0;
        bool ended = false;
        unsigned status = 0;
        std::int64_t tokens = 0;
        SteadyTime endedAt;
        Endpoint front;
        SteadyTime sentAt;
        ConnectionFacts connection;
        std::vector<RunFacts> runFacts;
        /** A stream that was answered to its end. */
        bool isWhole = false;
    };

    /** An answer of a replica that leaves, which a VM passed on. */
    struct LeavingNotice
    {
        Endpoint front;
        std::string replica;

        friend auto operator<=>(const LeavingNotice &, const LeavingNotice &) = default;
    };

    /** A replica that names a limit, and the requests that count against it. */
    struct LimitedReplica
    {
        double perSecond = 0;
        SteadyTime since;
        /** When each VM first passed on an answer with the limit. */
        std::map<Endpoint, SteadyTime> toldAt;
        std::deque<SteadyTime> arrivals;
    };

    /** A target at which each request ends the replica that runs it. */
    struct CrashingTarget
    {
        std::vector<SteadyTime> runs;
        /** Runs that count against the bound. */
        int late = 0;
    };

    /** A request refused for its budget, and what counted against the budget at that time. */
    struct BudgetRefusal
    {
        std::string id;
        std::int64_t settled = 0;
        /** Turns not settled at that time; each counts with its upper bound if it ever ran. */
        std::vector<std::string> unsettled;
    };

    void addViolation(const std::string &kind, const std::string &id, const std::string &detail);
    void checkBudget(const std::string &id, const Record &record);
    void recordBudgetRefusal(const std::string &id, const Record &record);
    void checkRequestBody(const std::string &id, const Record &record, const HttpRequest &request);
    void checkDraining(const std::string &id, const Record &record, const std::string &replica);
    void checkCrashes(const std::string &id, const Record &record, const std::string &target);
    void checkLimit(const std::string &id, const Record &record, const std::string &replica);
    void countTakenUp(const Record &record, const AttemptResult &result);
    std::optional<ReceivedStream> checkStream(const std::string &id, Record &record,
                                              const AttemptResult &result);
    void checkStreamEnd(const std::string &id, const AttemptResult &result,
                        const ReceivedStream &received);
    void checkSingleAnswer(const std::string &id, const AttemptResult &result);
    /** True if a VM must accept the key of the request, given what it could read in time. */
    bool mustKnowKey(const Record &record) const;
    bool continuesForeignTurn(const Attempt &attempt) const;
    void checkOrganisationOfRun(const std::string &id, const Record &record,
                                const HttpRequest &request);
    void checkOrganisationOfResult(const std::string &id, const Record &record);
    void checkKey(const std::string &id, const Record &record);
    void checkTenant(const std::string &id, const Record &record, const HttpRequest &request);
    void checkQuota(const std::string &id, const Record &record);

    /** What is known of all requests that have ended, in the order in which they were sent. */
    std::vector<CallFacts> callFacts() const;
    void checkBudgetRefusals();

    const Clock &m_clock;
    std::map<std::string, Record> m_records;
    FaultHistory m_faults;
    std::map<std::string, std::vector<std::string>> m_programs;
    std::map<std::string, std::string> m_conversations;
    std::vector<BudgetRefusal> m_budgetRefusals;
    std::map<LeavingNotice, SteadyTime> m_leavingNotices;
    std::map<Endpoint, SteadyTime> m_disruptedAt;
    std::map<std::string, LimitedReplica> m_limited;
    std::map<std::string, CrashingTarget> m_crashingTargets;
    SteadyTime m_storeDisruptedAt;
    StoreAccess m_storeAccess;
    KeyHistory m_keys;
    QuotaHistory m_quotas;
    bool m_hasOrganisations = false;
    std::map<std::string, int> m_counts;
    std::vector<std::string> m_violations;
};

/** Tokens in one event of a stream, as the soak configures it for the engine service. */
constexpr std::int64_t TokensPerEvent = 20;

} // namespace boragepath::soak
