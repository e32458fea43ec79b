#pragma once

#include "control/admission/configuration_lease.h"
#include "control/admission/program_admission.h"
#include "control/call_queue_order.h"
#include "control/drain/stop_plan.h"
#include "control/ledger_relay.h"
#include "control/limited_placement.h"
#include "control/object_locations.h"
#include "control/quotas/organisation_quotas.h"
#include "control/replica_limits.h"
#include "control/replica_table.h"
#include "control/request_quarantine.h"
#include "control/resumption/stream_outputs.h"
#include "control/route_table.h"
#include "control/send_permits.h"
#include "control/store_health.h"
#include "control/stream_origins.h"
#include "control/turn_archive.h"
#include "control/vm_directory.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/logging.h"
#include "core/lru_map.h"
#include "core/request_fingerprint.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace boragepath {

/** States that a request continues a stream that broke off. */
struct StreamResumption
{
    /** The attempt that brought the stream's first event; empty if the request names none. */
    AttemptId firstAttempt;
    /** The last event that the caller has received. */
    std::int64_t lastEventId = 0;
};

/** The fields of a caller's request that scheduling decisions depend on. */
struct IncomingCall
{
    /** Identifies the request in log lines, reservations and stored turns. */
    AttemptId attempt;
    /** The same for all attempts that ask for the same thing. */
    RequestIdentity identity;
    std::string host;
    /** Request path without the query string. */
    std::string path;
    /** How long the caller waits from now on; none if the request does not state it. */
    std::optional<Milliseconds> callerTimeout;
    /** Empty if the call belongs to no program. */
    ProgramId program;
    /** Identifies one conversation within the program. */
    std::string session;
    /** Tokens that all turns of the program together may generate; none if it states no budget. */
    std::optional<std::int64_t> tokenBudget;
    /** When the program should be finished; none if the request does not state it. */
    std::optional<SteadyTime> programDeadline;
    /** Upper bound on the tokens that this turn generates. */
    std::int64_t maxTurnTokens = 0;
    /** The turn that this one continues; empty at the start of a conversation. */
    AttemptId previousTurn;
    /** The object that the request is about; empty if it states none. */
    std::string object;
    /** Set if the caller has received the beginning of the stream already. */
    std::optional<StreamResumption> resumption;
    /** Digest of the caller's API key; none if the request has no key, or several. */
    std::optional<KeyDigest> key;
    /** New input, on routes that store turns; shared with the connection that received it. */
    Conversation input;
};

/** Why a call was refused. Written to the log under the name that refusalReasonName() gives. */
enum class CallRefusalReason {
    NoConfiguration,
    NoRoute,
    BadCall,
    BudgetExhausted,
    UnknownTurn,
    StoreUnavailable,
    NoReplica,
    /** All replicas have named limits, and no permit can be had in time. */
    ReplicasLimited,
    DeadlineExceeded,
    /** Nobody knows which software version began the stream that the call continues. */
    StreamVersionUnknown,
    /** No replica of the version that began the stream is left. */
    StreamVersionGone,
    /** The turn would be stored, and nobody knows what its caller got before. */
    StreamOutputUnknown,
    /** Replica after replica has ended under requests for the same. */
    Quarantined,
    /** The call has no API key that the configuration knows. */
    UnknownKey,
    /** The API keys may have changed since they were last known to be in force. */
    KeysUnconfirmed,
    /** The organisation has used up its quota of requests. */
    OverQuota,
    /** The program has not begun, and those under way need all slots. */
    Overloaded,
    /** This VM stops, and the call might not be answered before. */
    Stopping,
};

/** Name of the reason in log lines. */
std::string_view refusalReasonName(CallRefusalReason reason);

/**
 * The scheduler sends the call to no replica, or to no further one.
 *
 * A call that was not sent to any replica before has not run and will not run.
 */
struct CallRefusal
{
    CallRefusalReason reason = CallRefusalReason::NoReplica;
    /** How long the caller should wait before it retries; zero if a retry cannot succeed. */
    Milliseconds retryAfter{0};
};

/** The replica that a call is sent to, and the policy that applies. */
struct CallDispatch
{
    CallHandle handle;
    std::shared_ptr<const RouteTable> table;
    /** Points into `table`. */
    const RoutePolicy *route = nullptr;
    ReplicaEntry replica;
    /** Whose call it is; none on deployments without organisations and for calls without a key. */
    std::optional<OrganisationId> organisation;
    /** The limit that the replica had named when it was chosen; none if it had named none. */
    std::optional<RequestRate> replicaLimit;
    /** The request must be sent before this time or not at all, as a permit or this VM ends then;
     * none if there is no limit. */
    std::optional<SteadyTime> sendBefore;
    std::int64_t tokensPerEvent = 0;
    /** The conversation before the new input; null if there is none or the route stores no turns.
     */
    Conversation history;
    /** The call ends at this time, whether it is answered or not. */
    SteadyTime deadline;
};

using CallDecision = std::variant<CallRefusal, CallDispatch>;

/** Result of a call when it is closed. */
struct CallCompletion
{
    /** The caller's answer is complete and successful. */
    bool answerComplete = false;
    /** Set if the call was refused. */
    std::optional<CallRefusalReason> refusal = std::nullopt;
    /** Generated tokens that were sent to the caller. */
    std::int64_t tokens = 0;
    /** Data of the stream's events, each followed by a line feed; only for complete turns. */
    std::string output;
    unsigned status = 0;
    std::string outcome;
};

/**
 * Admits and schedules calls: finds the route, loads the history, reserves the
 * token budget and chooses a replica.
 *
 * Runs on the control thread. Each call is opened, retried on further replicas if
 * necessary, and closed. While no replica has a free slot, the call waits in a queue, and so it
 * does while the replicas that could take it have named limits and no permit is at hand.
 */
class CallScheduler
{
public:
    struct Dependencies
    {
        const Clock &clock;
        Timers &timers;
        ReplicaTable &replicas;
        LedgerRelay &ledger;
        TurnArchive &turns;
        StreamOrigins &streams;
        StreamOutputs &outputs;
        const VmDirectory &vms;
        const StoreHealth &health;
        ReplicaLimits &limits;
        SendPermits &permits;
        RequestQuarantine &quarantine;
        const ConfigurationLease &lease;
        OrganisationQuotas &quotas;
        ZoneId zone;
    };

    explicit CallScheduler(Dependencies dependencies);

    /** Replaces the route table unless it has this version or a newer one; true if replaced. */
    bool setRouteTable(std::shared_ptr<const RouteTable> table);
    std::shared_ptr<const RouteTable> routes() const { return m_table; }

    /**
     * Starts to schedule a call. @p done receives the decision, either at once or later.
     * A call that is refused here is already closed.
     */
    void open(const IncomingCall &call, std::function<void(const CallDecision &)> done);
    /** Ends the attempt at the current replica and asks for another replica. */
    void retryOnOtherReplica(CallHandle handle, const ReplicaObservation &observation,
                             std::function<void(const CallDecision &)> done);
    /** The caller gets the first event of a stream now; only the same version may go on with it. */
    void noteStreamStarted(CallHandle handle);
    /**
     * The caller is about to get an event of a stream that will be stored. @p text is the event's
     * data, as it is stored. Other VMs have been sent it when this returns.
     */
    void noteStreamOutput(CallHandle handle, const std::string &text,
                          std::optional<std::int64_t> eventId);
    /** A replica has said in its answer to @p attempt that it leaves. */
    void noteReplicaLeaving(const ReplicaEntry &replica, const AttemptId &attempt);
    /**
     * A replica has said in its answer to @p attempt, which was sent to it at @p sentAt, how many
     * requests it takes.
     */
    void noteReplicaLimit(const ReplicaEntry &replica, const AttemptId &attempt,
                          const LimitStatement &statement, SteadyTime sentAt);
    /** An answer of the replica, read at @p readAt, reports its load. */
    void noteReplicaReport(const ReplicaEntry &replica, const ReportedLoad &report,
                           SteadyTime readAt);
    /** Ends the attempt at the current replica; the call stays open. */
    void endReplicaAttempt(CallHandle handle, const ReplicaObservation &observation);
    /**
     * Closes a call. If its turn has to be stored, @p done receives true once the store
     * has confirmed it, or false if the call's deadline passes first. Otherwise @p done
     * receives true at once.
     */
    void close(CallHandle handle, const CallCompletion &completion, std::function<void(bool)> done);

    std::size_t openCalls() const { return m_calls.size(); }

    /** A planned stop of this VM has begun, or its plan has changed. */
    void setStopPlan(const StopPlan &plan) { m_stop = plan; }
    /** Writes a line for each call that a replica has: it is about to be broken off. */
    void logCutCalls() const;

private:
    /** A replica that a call was sent to, for the log. */
    struct AttemptedReplica
    {
        ReplicaEntry entry;
        /** The limit that it had named by then. */
        std::optional<RequestRate> limit;
        SteadyTime dispatchedAt;
    };

    struct Call
    {
        IncomingCall incoming;
        std::shared_ptr<const RouteTable> table;
        const RoutePolicy *route = nullptr;
        PoolName service;
        /** Whose call it is; points into the table, and is null if there is none. */
        const Organisation *organisation = nullptr;
        SteadyTime openedAt;
        SteadyTime deadline;
        /** A request of the organisation's quota has been granted to the call. */
        bool quotaGranted = false;
        /** If the quota did not allow the call: the time after which it may. */
        Duration quotaDelay{0};
        ConversationSnapshotPtr history;
        /** Set once the caller has events of the stream: the software that may go on with it. */
        std::optional<StreamOrigin> streamOrigin;
        OriginSource originSource = OriginSource::Unknown;
        /** What the caller got of a stream that will be stored, in attempts before this one. */
        EarlierOutput earlier;
        /** Bytes of output that the caller has got, earlier ones included. */
        std::size_t outputBytes = 0;
        bool budgetReserved = false;
        /** The replica that probably has the prompt's prefix cached; empty if not known. */
        ReplicaId promptReplica;
        std::set<ReplicaId> triedReplicas;
        /** In the order in which the call was sent to them. */
        std::vector<AttemptedReplica> attemptedReplicas;
        std::optional<ReplicaId> currentReplica;
        ReplicaId lastReplica;
        /** What the choice of the last replica was based on, for the log. */
        PlacementInputs placement;
        /** Time spent in this VM's queue. */
        Duration queueTime{0};
        int dispatches = 0;
        PermitSearch permitSearch;
        std::function<void(const CallDecision &)> done;
    };

    /** Sets the call's route, service, organisation and deadline, or returns why it is refused. */
    std::optional<CallRefusalReason> resolveRoute(Call &call) const;
    /** Why a call must not be sent to a replica any more; none if it may. */
    std::optional<CallRefusalReason> reasonNotToSend(const Call &call);
    /** Why the call's API key no longer allows it to be sent; none if it still does. */
    std::optional<CallRefusalReason> keyProblem(const Call &call) const;
    /** What the call stores is kept apart by organisation. */
    static bool isScoped(const Call &call);
    /** Whose call it is; empty for a call without a key. */
    static OrganisationId organisationOf(const Call &call);
    /** The program whose budget the call uses; a call without one is a program of its own. */
    static ProgramId programOf(const Call &call);
    /** The id under which the call's organisation stores a turn. */
    static AttemptId storedTurn(const Call &call, const AttemptId &turn);
    /** Asks for a request of the organisation's quota, and goes on if it is granted. */
    void claimQuota(CallHandle handle);
    /** True if the call may be the first one of its program, as far as can be seen. */
    static bool mayBeFirstCall(const Call &call);
    /** True for the first turn of a program, if it has neither been sent to a replica yet. */
    static bool beginsProgram(const Call &call);
    bool hasLimitedReplica(const PoolName &service) const;
    ServiceLoad loadOf(const PoolName &service) const;
    void findOriginOrPrepare(CallHandle handle);
    /** Finds out which software version began the stream that the call continues. */
    void findStreamOrigin(CallHandle handle);
    void setStreamOrigin(CallHandle handle, const OriginLookup &lookup);
    /** Finds out what the caller has got of a stream that will be stored. */
    void findEarlierOutput(CallHandle handle);
    /** Loads what the call needs before it can be dispatched. */
    void prepare(CallHandle handle);
    void loadHistory(CallHandle handle);
    void reserveBudget(CallHandle handle);
    void dispatch(CallHandle handle);
    /** What the call requires of its next replica; nothing if it can go to none any more. */
    std::optional<PlacementRequest> placementRequest(const Call &call) const;
    /** A replica that the call may be sent to now, or null. */
    const ReplicaState *findReadyReplica(Call &call);
    /** True if the call can't be sent to any replica in time, with this many calls before it. */
    bool isHopeless(const QueuedCall &item, std::size_t callsAhead) const;
    QueuedCall makeQueuedCall(CallHandle handle, const Call &call) const;
    /** True if a replica has served an earlier call of the program, or the stream's beginning. */
    static bool isUnderWay(const Call &call);
    void dispatchTo(Call &call, CallHandle handle, const ReplicaState &replica);
    void scheduleQueueCheck();
    /** True if the route asks that requests about one object go to the same replica. */
    static bool isPlacedByObject(const Call &call);
    /** Sends queued calls to free slots in queue order, and refuses those that waited too long. */
    void dispatchQueued();
    void refuse(CallHandle handle, CallRefusalReason reason);
    /** Time after which a caller that was refused should come back; zero for never. */
    Milliseconds retryDelay(const Call &call, CallRefusalReason reason) const;
    /** Why no replica can serve the call. */
    CallRefusalReason noReplicaReason(const Call &call) const;
    /** Connections that this VM may have open to each replica of a service. */
    std::int64_t connectionShare(const PoolName &service) const;
    void storeTurn(const Call &call, const CallCompletion &completion,
                   std::function<void(bool)> done);
    void releaseReplica(Call &call, const ReplicaObservation &observation);
    /** The replica's process has ended under the call, and not as planned. */
    void noteReplicaCrash(const Call &call, const ReplicaObservation &observation);
    /** True if the call may be sent to a replica, as far as crashes are concerned. */
    bool isAdmitted(const Call &call);
    void logQuarantine(const RequestFingerprint &request, bool quarantined) const;
    void logLimit(const ReplicaEntry &replica, const AttemptId &attempt,
                  std::string_view outcome) const;
    void logFailedAttempt(const Call &call, const ReplicaObservation &observation) const;
    void logCompletion(const Call &call, const CallCompletion &completion) const;
    /** Adds which replicas the call was sent to, and why, to a log line. */
    static void addPlacementDetails(const Call &call, LogLine &line);
    /** Adds when the call was taken, relative to the planned stop of this VM, to a log line. */
    void addStopDetails(const Call &call, LogLine &line) const;
    /** Adds the data that a refusal was based on, and the age of that data, to a log line. */
    void addRefusalDetails(const Call &call, CallRefusalReason reason, LogLine &line) const;

    Dependencies m_dependencies;
    std::shared_ptr<const RouteTable> m_table;
    ObjectLocations m_objects;
    LruMap<ReplicaIncarnation, bool> m_unreadableLimits;
    LimitedPlacement m_placement;
    std::map<CallHandle, Call> m_calls;
    std::vector<QueuedCall> m_queue;
    std::map<PoolName, ReportedUtilization> m_utilizations;
    bool m_queueCheckScheduled = false;
    /** The planned stop of this VM; none if it goes on. */
    std::optional<StopPlan> m_stop;
    std::uint64_t m_nextHandle = 1;
};

} // namespace boragepath
