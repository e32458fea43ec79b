#include "control/policy.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <limits>

namespace boragepath {

namespace {

/** Rank offset of each service class, in seconds of attained service; lower is admitted first. */
constexpr double ClassOffsetSeconds[] = {-1e9, 0.0, 15.0, 90.0};
/** Each second of waiting lowers the rank by this many seconds of attained service. */
constexpr double AgingRate = 2.0;
/** Rank bonus of a program that has missed its latency objective. */
constexpr double LateBonusSeconds = 5.0;
/** Extra cost of a replica in another availability zone: two crossings per call. */
constexpr double CrossZoneMillis = 4.0;
/** Pools of up to this many replicas are scanned completely; larger pools are sampled. */
constexpr std::size_t FullScanLimit = 16;
/** Number of random replicas considered in a sampled pool. */
constexpr std::size_t ReplicaSampleSize = 4;
/** Factor on the recomputation cost that accounts for the memory of a second prefix copy. */
constexpr double DuplicatePrefixFactor = 2.0;
/** Part of a call's service time that a replica saves if it has the call's object in memory. */
constexpr double ObjectSaving = 0.3;
/** Slowdown of a call in a full batch against an empty one, as a share of the mean service time. */
constexpr double BatchSlowdown = 0.25;

std::optional<std::size_t> indexOf(const std::vector<ReplicaView> &views,
                                   const std::optional<ReplicaId> &id)
{
    if (!id.has_value()) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < views.size(); ++index) {
        if (views[index].id == *id) {
            return index;
        }
    }
    return std::nullopt;
}

std::size_t leastLoaded(const std::vector<ReplicaView> &views, std::mt19937_64 &random)
{
    std::size_t best = random() % views.size();
    for (std::size_t index = 0; index < views.size(); ++index) {
        const double load = views[index].running + views[index].waiting;
        if (load < views[best].running + views[best].waiting) {
            best = index;
        }
    }
    return best;
}

std::vector<std::size_t> candidates(const std::vector<ReplicaView> &views,
                                    std::optional<std::size_t> prefixIndex,
                                    std::optional<std::size_t> commonPromptIndex,
                                    std::optional<std::size_t> objectIndex, std::mt19937_64 &random)
{
    std::vector<std::size_t> result;
    if (views.size() <= FullScanLimit) {
        for (std::size_t index = 0; index < views.size(); ++index) {
            result.push_back(index);
        }
        return result;
    }
    if (prefixIndex.has_value()) {
        result.push_back(*prefixIndex);
    }
    if (commonPromptIndex.has_value()) {
        result.push_back(*commonPromptIndex);
    }
    if (objectIndex.has_value()) {
        result.push_back(*objectIndex);
    }
    for (std::size_t count = 0; count < ReplicaSampleSize; ++count) {
        result.push_back(random() % views.size());
    }
    return result;
}

PlacementDecision placeByCost(const std::vector<ReplicaView> &views, const PlacementQuery &query,
                              std::mt19937_64 &random)
{
    const std::optional<std::size_t> prefixIndex = indexOf(views, query.prefixReplica);
    const std::optional<std::size_t> commonPromptIndex = indexOf(views, query.commonPromptReplica);
    const std::optional<std::size_t> objectIndex = indexOf(views, query.objectReplica);
    PlacementDecision best;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const std::size_t index :
         candidates(views, prefixIndex, commonPromptIndex, objectIndex, random)) {
        const ReplicaView &view = views[index];
        const bool holdsHistory = prefixIndex == index;
        const bool holdsCommonPrompt = holdsHistory || commonPromptIndex == index;
        const double wait = expectedWaitMillis(view, query);
        double tokensToCompute = 0;
        if (!holdsHistory) {
            tokensToCompute += static_cast<double>(query.historyTokens);
        }
        if (!holdsCommonPrompt) {
            tokensToCompute += static_cast<double>(query.commonPromptTokens);
        }
        // Recomputing a prompt also delays every call in the same batch, and the copy that is
        // left behind on the previous replica takes cache memory from other programs.
        const double recompute = tokensToCompute * query.prefillMillisPerToken
            * DuplicatePrefixFactor * (1 + view.running);
        const double batchSlowdown = BatchSlowdown * query.meanServiceMillis
            * std::min(1.0, view.running / query.maxBatchSize);
        const double objectSaving =
            objectIndex == index ? ObjectSaving * query.meanServiceMillis : 0;
        const double cost =
            wait + recompute + batchSlowdown - objectSaving + (view.sameZone ? 0 : CrossZoneMillis);
        // Random jitter keeps VMs with the same view of the loads from all choosing one replica.
        const double costWithJitter = cost + static_cast<double>(random() % 1000) / 1000.0;
        if (costWithJitter < bestCost) {
            bestCost = costWithJitter;
            best.index = index;
            best.expectedWaitMillis = wait;
            best.reason = absl::StrFormat("%s: wait %.0f ms, recompute %.0f ms",
                                          holdsHistory               ? "holds the history"
                                              : holdsCommonPrompt    ? "holds the common prompt"
                                              : objectIndex == index ? "handled the object"
                                                                     : "cheapest",
                                          wait, recompute);
        }
    }
    return best;
}

} // namespace

double rankOf(PolicyKind policy, const WaitingCall &call)
{
    constexpr double MillisPerSecond = 1'000.0;
    const double waited = static_cast<double>(call.waited.count()) / MillisPerSecond;
    if (policy != PolicyKind::Program) {
        return -waited;
    }
    const double attainedService =
        static_cast<double>(call.attainedService.count()) / MillisPerSecond;
    const double late = call.slack < Milliseconds(0) ? LateBonusSeconds : 0;
    return ClassOffsetSeconds[static_cast<std::size_t>(call.serviceClass)] + attainedService
        - AgingRate * waited - late;
}

double expectedWaitMillis(const ReplicaView &view, const PlacementQuery &query)
{
    const double ahead = view.running + view.waiting + 1 - query.maxBatchSize;
    if (ahead <= 0) {
        return 0;
    }
    return ahead * query.meanServiceMillis / query.maxBatchSize;
}

PlacementDecision chooseReplica(PolicyKind policy, const std::vector<ReplicaView> &views,
                                const PlacementQuery &query, std::mt19937_64 &random)
{
    switch (policy) {
    case PolicyKind::RoundRobin:
        return {query.turn % views.size(), 0, "next in turn"};
    case PolicyKind::LeastLoad:
        return {leastLoaded(views, random), 0, "least load"};
    case PolicyKind::PrefixFifo: {
        const std::optional<std::size_t> prefixIndex = indexOf(views, query.prefixReplica);
        if (prefixIndex.has_value()) {
            return {*prefixIndex, expectedWaitMillis(views[*prefixIndex], query),
                    "holds the history"};
        }
        return {leastLoaded(views, random), 0, "least load"};
    }
    case PolicyKind::Program:
        return placeByCost(views, query, random);
    }
    return {};
}

bool usesPermits(PolicyKind policy)
{
    return policy == PolicyKind::PrefixFifo || policy == PolicyKind::Program;
}

Milliseconds shedThreshold(ServiceClass serviceClass, bool started, Milliseconds queueTimeout)
{
    if (serviceClass == ServiceClass::Alert) {
        return Milliseconds::max();
    }
    // Programs that have already started are accepted up to the full queue limit. New programs are
    // shed at half of it or less, and less urgent classes earlier than more urgent ones.
    constexpr int QuartersOfClass[] = {4, 4, 3, 2};
    const int quarters = QuartersOfClass[static_cast<std::size_t>(serviceClass)];
    const Milliseconds limit = queueTimeout * quarters / 4;
    return started ? queueTimeout : limit / 2;
}

} // namespace boragepath
