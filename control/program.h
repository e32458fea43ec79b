#pragma once

#include "control/effects.h"
#include "control/records.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/units.h"

#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragepath {

/** A call as its caller sent it, after the syntax of its headers and body was checked. */
struct CallRequest
{
    CallHandle handle;
    ProgramKey program;
    CallNumber number;
    PoolName pool;
    bool isService = false;
    /** Path after the service's name; empty for models. */
    std::string path;
    /** The object that a service call is about; empty if it states none. */
    std::string object;
    /**
     * The new messages of a model call, as JSON objects joined by commas, or the body of a service
     * call.
     */
    std::string content;
    std::int64_t messageCount = 0;
    /** Further JSON fields of a model call for the model server, each as `,"name":value`. */
    std::string extraFields;
    /** Maximum number of completion tokens; 0 selects the default of the pool. */
    std::int64_t maxTokens = 0;
    bool idempotent = true;
    std::string idempotencyKey;
    std::optional<ProgramId> parent;
    /** The program ends with this call. */
    bool last = false;
    std::string bearerKey;
    /** Hash of all that identifies the call. A repeated call number must have the same hash. */
    std::uint64_t bodyHash = 0;
    /** Another VM relayed the call to this one. */
    bool relayed = false;
};

/** The processing stage of a call. */
enum class CallStage {
    Reserving, ///< Waits for a budget reservation.
    Queued, ///< Waits for a permit to run at its replica.
    CommittingIntent, ///< Waits until its intent row is durable.
    Running, ///< Was dispatched; a backend server may be working on it.
    Backoff, ///< Waits before its next attempt.
    CommittingTurn, ///< Waits until its turn row is durable.
};

/** The call that a program is executing. A program has at most one. */
struct ActiveCall
{
    CallRequest request;
    /** Connections that wait for the answer. The first one gets it as a stream. */
    std::vector<CallHandle> handles;
    CallStage stage = CallStage::Reserving;
    SteadyTime arrived;
    WallTime arrivedWall;
    Amount reserved;
    std::int64_t period = 0;
    PermitId permit;
    ReplicaSettings replica;
    std::set<ReplicaId> excluded;
    int attempts = 0;
    /** True if an attempt that failed may have reached a backend server. */
    bool everSent = false;
    int moves = 0;
    bool intentDurable = false;
    SteadyTime dispatchedAt;
    SteadyTime retryAt;
    std::string decision;
};

/** A call that waits until its program is loaded or the calls before it have ended. */
struct DeferredCall
{
    CallRequest request;
    SteadyTime deadline;
};

/** The state of one program at the VM that owns its shard. */
struct Program
{
    ProgramKey key;
    ShardIndex shard;
    /** True if the turns are in memory. */
    bool loaded = false;
    bool loading = false;
    /** Identifies the read under way; results of reads for an earlier ownership are ignored. */
    std::uint64_t loadId = 0;
    /** Turns by call number. Complete from 1 to next - 1 while loaded is true. */
    std::map<CallNumber, TurnRecord> turns;
    CallNumber next{1};
    std::optional<ActiveCall> current;
    /** Calls that arrived before the calls with lower numbers had ended. */
    std::map<CallNumber, DeferredCall> outOfOrder;
    /** Calls that arrived while the program was being loaded. */
    std::vector<DeferredCall> awaitingLoad;
    /** The row under keys::openProgram() as it is stored, or as the next commit will store it. */
    OpenProgramRecord openRow;
    /** True if the table service holds a version of openRow. */
    bool openRowDurable = false;
    /** True if openRow must be written with the next commit of the program. */
    bool openRowStale = true;
    /** Replicas that have not yet confirmed that they released the program's memory. */
    std::set<ReplicaId> unreleasedReplicas;
    bool releasing = false;
    SteadyTime nextRelease;
    SteadyTime lastActivity;
    SteadyTime started;
    /** Attained service: the time that the program's calls spent at backend servers. */
    std::int64_t attainedMillis = 0;
    /** Attained service of the program's sub-agents. */
    std::int64_t childMillis = 0;
    std::optional<ReplicaId> lastReplica;
    /** Estimated size of the turns in memory, in bytes. */
    std::int64_t bytes = 0;

    /** Tokens of the history, without new messages: a lower bound for the next prompt. */
    std::int64_t historyTokens() const;
    /** Prompt and completion tokens of all turns in memory. */
    std::int64_t totalTokens() const;
    /** Adds a recorded turn to the history. */
    void addTurn(const TurnRecord &turn);
    /** Drops the turns from memory. They are read again with the next call. */
    void unload();
    /** True if no call is running or waiting and no load is under way. */
    bool isIdle() const;
};

/** Returns the messages of the whole conversation and @p newMessages as a JSON array. */
std::string composeMessages(const Program &program, const std::string &newMessages);

/** Returns the body of a model call for a backend server, in the OpenAI format. */
std::string composeModelBody(const Program &program, const CallRequest &request,
                             std::int64_t maxTokens);

/** Returns an upper bound for the prompt tokens of a call. Each token is at least one byte long. */
std::int64_t promptTokenBound(const Program &program, const CallRequest &request);

} // namespace boragepath
