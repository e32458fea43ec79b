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

/** A call as a caller sent it, after its headers and body were checked for form. */
struct CallRequest
{
    CallHandle handle;
    ProgramKey program;
    CallNumber number;
    PoolName pool;
    bool isService = false;
    /** Path behind the service's name; empty for models. */
    std::string path;
    /** New messages of a model call, JSON objects joined by commas; or the service's body. */
    std::string content;
    std::int64_t messageCount = 0;
    /** Further fields of a model call for the engine: `,"name":value` each. */
    std::string extraFields;
    /** Completion tokens at most; 0 leaves it to the pool's setting. */
    std::int64_t maxTokens = 0;
    bool idempotent = true;
    std::string idempotencyKey;
    std::optional<ProgramId> parent;
    /** The program ends with this call. */
    bool last = false;
    std::string bearerKey;
    /** Hash of everything that makes the call what it is. */
    std::uint64_t bodyHash = 0;
    /** Another VM has passed the call on. */
    bool relayed = false;
};

/** How far a call has come. */
enum class CallStage {
    Reserving, ///< Waits for budget.
    Queued, ///< Waits for a permit.
    Intending, ///< Waits for its intent to be durable.
    Running, ///< May be at a backend server.
    Backoff, ///< Waits to be tried again.
    Recording, ///< Its turn is being committed.
};

/** The call of a program that is under way; a program has at most one. */
struct ActiveCall
{
    CallRequest request;
    /** Connections that wait for the answer; the first streams it. */
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
    /** Some attempt may have reached a backend server. */
    bool everSent = false;
    int moves = 0;
    bool intentDurable = false;
    SteadyTime dispatchedAt;
    SteadyTime retryAt;
    std::string decision;
};

/** A call that came before its turn. */
struct EarlyCall
{
    CallRequest request;
    SteadyTime deadline;
};

/** All that an owner keeps of one program. */
struct Program
{
    ProgramKey key;
    ShardIndex shard;
    /** The turns are in memory. */
    bool loaded = false;
    bool loading = false;
    /** Tells the read under way from reads for an earlier ownership. */
    std::uint64_t loadId = 0;
    /** Turns by number; complete from 1 to next - 1 when loaded. */
    std::map<CallNumber, TurnRecord> turns;
    CallNumber next{1};
    std::optional<ActiveCall> current;
    std::map<CallNumber, EarlyCall> early;
    /** Calls that arrived while the program was being loaded. */
    std::vector<EarlyCall> unsorted;
    /** What the table service holds under keys::open(), or will after the next commit. */
    OpenProgramRecord open;
    bool openDurable = false;
    bool openStale = true;
    /** Replicas that have not yet confirmed the release. */
    std::set<ReplicaId> unreleased;
    bool releasing = false;
    SteadyTime nextRelease;
    SteadyTime lastActivity;
    SteadyTime started;
    std::int64_t attainedMillis = 0;
    /** Attained service that sub-agents report to their parent. */
    std::int64_t childMillis = 0;
    std::optional<ReplicaId> lastReplica;
    std::int64_t bytes = 0;

    /** Tokens that the next prompt has at least: history without new messages. */
    std::int64_t historyTokens() const;
    /** Tokens that all calls together have used. */
    std::int64_t totalTokens() const;
    /** Takes a recorded turn into the history. */
    void addTurn(const TurnRecord &turn);
    /** Drops the turns from memory; they are read again when needed. */
    void unload();
    /** True if nothing is under way. */
    bool quiet() const;
};

/** The messages of the whole conversation and @p newMessages, as a JSON array. */
std::string composeMessages(const Program &program, const std::string &newMessages);

/** The body of a model call for a backend server, in the OpenAI format. */
std::string composeModelBody(const Program &program, const CallRequest &request,
                             std::int64_t maxTokens);

/** Upper bound of the prompt tokens of a call: a token has at least one byte. */
std::int64_t promptTokenBound(const Program &program, const CallRequest &request);

} // namespace boragepath
