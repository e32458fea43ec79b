#pragma once

#include "control/catalogue.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/settings.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

/**
 * Scheduling policy: the order of waiting calls, the placement of calls on replicas, and load
 * shedding. These are free functions over plain structs, so that baseline policies and the real
 * policy can be compared side by side. They affect performance only: no correctness guarantee
 * depends on them.
 */
namespace boragepath {

/** A call that waits for a permit at a replica. */
struct WaitingCall
{
    ServiceClass serviceClass = ServiceClass::Conversation;
    /** Service time that the whole program tree has received at backend servers. */
    Milliseconds attainedService{0};
    /** Time left until the program misses its latency objective; negative if it is late. */
    Milliseconds slack{0};
    /** Time that the call has waited so far. */
    Milliseconds waited{0};
    /** True if a call of the program has been answered before. */
    bool started = false;
};

/** Rank of a waiting call in the queue of a replica; the lowest rank is admitted first. */
double rankOf(PolicyKind policy, const WaitingCall &call);

/** Load of one replica as known to the VM that owns the program; it may be out of date. */
struct ReplicaView
{
    ReplicaId id;
    /** Calls running at the replica, and calls waiting for it. */
    double running = 0;
    double waiting = 0;
    bool sameZone = false;
};

/** A call to be placed on a replica. */
struct PlacementQuery
{
    /** Tokens of the program's history. */
    std::int64_t historyTokens = 0;
    /** The replica that ran the program's last call and may cache its history, if known. */
    std::optional<ReplicaId> prefixReplica;
    /** The replica that likely caches the common prompt of the catalogue entry. */
    std::optional<ReplicaId> commonPromptReplica;
    /** Tokens of the common prompt. */
    std::int64_t commonPromptTokens = 0;
    /** The replica that likely has the object of a service call in memory. */
    std::optional<ReplicaId> objectReplica;
    std::uint32_t maxBatchSize = 1;
    /** Mean service time of a call in the pool. */
    double meanServiceMillis = 1'000;
    double prefillMillisPerToken = 0.1;
    /** Number of earlier placements; used by the round-robin policy. */
    std::uint64_t turn = 0;
};

/** The index of the chosen replica and the reason for the choice. */
struct PlacementDecision
{
    std::size_t index = 0;
    double expectedWaitMillis = 0;
    std::string reason;
};

/** Expected queueing delay of a new call at the replica @p view, in milliseconds. */
double expectedWaitMillis(const ReplicaView &view, const PlacementQuery &query);

/** Chooses a replica from @p views, which must not be empty. */
PlacementDecision chooseReplica(PolicyKind policy, const std::vector<ReplicaView> &views,
                                const PlacementQuery &query, std::mt19937_64 &random);

/** True if the policy queues calls at a permit server before they are sent to a replica. */
bool usesPermits(PolicyKind policy);

/** Longest expected wait at which a new request of this class is still queued, not refused. */
Milliseconds shedThreshold(ServiceClass serviceClass, bool started, Milliseconds queueTimeout);

} // namespace boragepath
