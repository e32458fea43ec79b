#pragma once

#include "control/call_queue_order.h"
#include "control/ledger_relay.h"
#include "control/replica_table.h"
#include "control/route_table.h"
#include "control/store_health.h"
#include "control/turn_archive.h"
#include "control/vm_directory.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/logging.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace boragepath {

/** One attempt of a caller, as far as decisions need it. */
struct IncomingCall
{
    AttemptId attempt;
    std::string host;
    /** Path without the query. */
    std::string path;
    /** How long the caller waits from now; none if it did not say. */
    std::optional<Milliseconds> callerTimeout;
    /** Empty if the call belongs to no program. */
    ProgramId program;
    /** One line of turns within the program. */
    std::string session;
    /** Tokens that all turns of the program may hand out; none if it did not say. */
    std::optional<std::int64_t> tokenBudget;
    /** When its program should be finished; none if it did not say. */
    std::optional<SteadyTime> programDeadline;
    /** The most tokens that this turn generates. */
    std::int64_t maxTurnTokens = 0;
    /** The turn that this one continues from; empty at the start of a conversation. */
    AttemptId previousTurn;
    /** New input of a kept turn; shared with the connection that received it. */
    Conversation input;
};

/** Why a call was refused; the log names it. */
enum class CallRefusalReason {
    NoConfiguration,
    NoRoute,
    BadCall,
    BudgetExhausted,
    UnknownTurn,
    StoreUnavailable,
    NoReplica,
    DeadlineExceeded,
};

std::string_view refusalReasonName(CallRefusalReason reason);

/** A final answer: the call has not run and never will. */
struct CallRefusal
{
    CallRefusalReason reason = CallRefusalReason::NoReplica;
    /** When to come back; zero if coming back cannot help. */
    Milliseconds retryAfter{0};
};

/** Where to send a call, and by which policy. */
struct CallDispatch
{
    CallHandle handle;
    std::shared_ptr<const RouteTable> table;
    /** Points into table. */
    const RoutePolicy *route = nullptr;
    ReplicaEntry replica;
    std::int64_t tokensPerEvent = 0;
    /** What was said before, ahead of the new input; null where nothing is kept. */
    Conversation history;
    /** The call ends at this time, answered or not. */
    SteadyTime deadline;
};

using CallDecision = std::variant<CallRefusal, CallDispatch>;

/** How a call ended. */
struct CallCompletion
{
    /** Its whole answer arrived. */
    bool answerComplete = false;
    /** Why it was refused, if it was. */
    std::optional<CallRefusalReason> refusal = std::nullopt;
    /** Tokens handed to the caller. */
    std::int64_t tokens = 0;
    /** Data of the events, each followed by a line feed; of whole turns only. */
    std::string output;
    unsigned status = 0;
    std::string outcome;
};

/**
 * Decides on every call: its route, its budget, its history, its replica.
 *
 * Runs on the control thread. Each call is opened, perhaps moved on to further
 * replicas, and closed.
 */
class CallScheduler
{
public:
    struct Parts
    {
        const Clock &clock;
        Timers &timers;
        ReplicaTable &replicas;
        LedgerRelay &ledger;
        TurnArchive &turns;
        const VmDirectory &vms;
        const StoreHealth &health;
        ZoneId zone;
    };

    explicit CallScheduler(Parts parts);

    /** Takes over a configuration unless a newer one is in force; true if it was taken. */
    bool setRouteTable(std::shared_ptr<const RouteTable> table);
    std::shared_ptr<const RouteTable> routes() const { return m_table; }

    void open(const IncomingCall &call, std::function<void(const CallDecision &)> done);
    /** Reports how the current replica did, and asks for another one. */
    void retryOnOtherReplica(CallHandle handle, const ReplicaObservation &observation,
                             std::function<void(const CallDecision &)> done);
    /** Reports how the current replica did, and that the call has ended there. */
    void endReplicaAttempt(CallHandle handle, const ReplicaObservation &observation);
    /**
     * Ends a call. @p done comes with true once a kept turn is in the store, or
     * with false if the call's time is over before; for others it comes at once.
     */
    void close(CallHandle handle, const CallCompletion &end, std::function<void(bool)> done);

    std::size_t openCalls() const { return m_calls.size(); }

private:
    struct Call
    {
        IncomingCall incoming;
        std::shared_ptr<const RouteTable> table;
        const RoutePolicy *route = nullptr;
        PoolName service;
        SteadyTime openedAt;
        SteadyTime deadline;
        ConversationSnapshotPtr history;
        bool reserved = false;
        /** The replica that has read most of the prompt; empty if it is not known. */
        ReplicaId promptReplica;
        std::set<ReplicaId> tried;
        std::optional<ReplicaId> current;
        ReplicaId last;
        /** What was believed of the replica as it was chosen, for the log. */
        PlacementInputs chosenBy;
        /** Time spent waiting here for a place at a replica. */
        Duration waited{0};
        int dispatches = 0;
        std::function<void(const CallDecision &)> done;
    };

    std::optional<CallRefusal> admit(Call &call) const;
    void findHistory(CallHandle handle);
    void reserve(CallHandle handle);
    void dispatch(CallHandle handle);
    const ReplicaState *place(const Call &call, std::int64_t maxOwnRequests) const;
    bool mayBeServed(const Call &call) const;
    void send(Call &call, CallHandle handle, const ReplicaState &replica);
    void wait(CallHandle handle);
    void planServing();
    void serveWaiting();
    void refuse(CallHandle handle, CallRefusalReason reason);
    std::int64_t connectionShare(const PoolName &service) const;
    void record(const Call &call, const CallCompletion &end, std::function<void(bool)> done);
    void releaseReplica(Call &call, const ReplicaObservation &observation);
    void logReplicaTrouble(const Call &call, const ReplicaObservation &observation) const;
    void logEnd(const Call &call, const CallCompletion &end) const;
    void addRefusalInputs(const Call &call, CallRefusalReason reason, LogLine &line) const;

    Parts m_parts;
    std::shared_ptr<const RouteTable> m_table;
    std::map<CallHandle, Call> m_calls;
    std::vector<WaitingCall> m_waiting;
    bool m_servingPlanned = false;
    std::uint64_t m_nextHandle = 1;
};

} // namespace boragepath
