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
 * The decisions about speed: which waiting call goes next, where a call goes,
 * and what is shed. Free functions over plain structs, so that a baseline and
 * the real policy run side by side. Nothing here can break a promise; a poor
 * choice costs only time.
 */
namespace boragepath {

/** A call that waits for a place at a replica. */
struct WaitingCall
{
    ServiceClass serviceClass = ServiceClass::Conversation;
    /** Time at backend servers that the whole program tree has had. */
    Milliseconds attainedService{0};
    /** Time until the program misses its objective; negative if it is late. */
    Milliseconds slack{0};
    /** Time that the call has waited. */
    Milliseconds waited{0};
    /** The program has had an answer before. */
    bool started = false;
};

/** The smaller goes first. */
double rankOf(PolicyKind policy, const WaitingCall &call);

/** What an owner believes of one replica. */
struct ReplicaView
{
    ReplicaId id;
    /** Calls at the replica, and calls waiting for it. */
    double running = 0;
    double waiting = 0;
    bool sameZone = false;
};

/** A call to be placed. */
struct PlacementQuery
{
    /** Tokens of the program's history. */
    std::int64_t historyTokens = 0;
    /** The replica that ran the program's last call, if it is still there. */
    std::optional<ReplicaId> prefixReplica;
    /** Where the entry's common prompt is likely to be cached. */
    std::optional<ReplicaId> commonPromptReplica;
    /** Tokens of the common prompt. */
    std::int64_t commonPromptTokens = 0;
    std::uint32_t maxBatchSize = 1;
    /** Mean time of a call at a replica of the pool. */
    double meanServiceMillis = 1'000;
    double prefillMillisPerToken = 0.1;
    /** Grows by one with each placement; round robin uses it. */
    std::uint64_t turn = 0;
};

/** The chosen replica and why. */
struct PlacementDecision
{
    std::size_t index = 0;
    double expectedWaitMillis = 0;
    std::string reason;
};

/** Wait that a new call must expect at @p view, in milliseconds. */
double expectedWaitMillis(const ReplicaView &view, const PlacementQuery &question);

/** Chooses among @p views, which must not be empty. */
PlacementDecision chooseReplica(PolicyKind policy, const std::vector<ReplicaView> &views,
                                const PlacementQuery &question, std::mt19937_64 &random);

/** True if the policy queues calls at a gatekeeper before they reach a replica. */
bool usesPermits(PolicyKind policy);

/** Longest expected wait at which a call of this class is still accepted. */
Milliseconds shedLimit(ServiceClass serviceClass, bool started, Milliseconds queueTimeout);

} // namespace boragepath
