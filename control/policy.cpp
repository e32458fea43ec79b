#include "control/policy.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <limits>

namespace boragepath {

namespace {

/** Head start of each class in the order, in seconds of attained service. */
constexpr double ClassOffsetSeconds[] = {-1e9, 0.0, 15.0, 90.0};
/** Seconds of attained service that a second of waiting makes up for. */
constexpr double AgingRate = 2.0;
/** Head start of a program that is late against its objective. */
constexpr double LateBonusSeconds = 5.0;
/** Extra cost of a replica in another zone: two crossings. */
constexpr double OtherZoneMillis = 4.0;
/** Replicas looked at in a pool too large to look at all. */
constexpr std::size_t FewReplicas = 16;
constexpr std::size_t SampledReplicas = 4;
/** Cost of a second copy of a prefix, over that of computing it. */
constexpr double CopyCost = 2.0;
/** Share of the mean service that a full batch adds to a call beside an empty one. */
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
                                    std::optional<std::size_t> prefix,
                                    std::optional<std::size_t> home, std::mt19937_64 &random)
{
    std::vector<std::size_t> result;
    if (views.size() <= FewReplicas) {
        for (std::size_t index = 0; index < views.size(); ++index) {
            result.push_back(index);
        }
        return result;
    }
    if (prefix.has_value()) {
        result.push_back(*prefix);
    }
    if (home.has_value()) {
        result.push_back(*home);
    }
    for (std::size_t count = 0; count < SampledReplicas; ++count) {
        result.push_back(random() % views.size());
    }
    return result;
}

PlacementDecision placeByCost(const std::vector<ReplicaView> &views, const PlacementQuery &question,
                              std::mt19937_64 &random)
{
    const std::optional<std::size_t> prefix = indexOf(views, question.prefixReplica);
    const std::optional<std::size_t> home = indexOf(views, question.commonPromptReplica);
    PlacementDecision best;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const std::size_t index : candidates(views, prefix, home, random)) {
        const ReplicaView &view = views[index];
        const bool holdsHistory = prefix == index;
        const bool holdsShared = holdsHistory || home == index;
        const double wait = expectedWaitMillis(view, question);
        double tokensToCompute = 0;
        if (!holdsHistory) {
            tokensToCompute += static_cast<double>(question.historyTokens);
        }
        if (!holdsShared) {
            tokensToCompute += static_cast<double>(question.commonPromptTokens);
        }
        // Computing a prompt again also holds up every call in the same batch, and
        // the copy left behind takes memory from other programs.
        const double recompute =
            tokensToCompute * question.prefillMillisPerToken * CopyCost * (1 + view.running);
        const double crowd = BatchSlowdown * question.meanServiceMillis
            * std::min(1.0, view.running / question.maxBatchSize);
        const double cost = wait + recompute + crowd + (view.sameZone ? 0 : OtherZoneMillis);
        // A little noise keeps owners that see the same picture from choosing alike.
        const double noisy = cost + static_cast<double>(random() % 1000) / 1000.0;
        if (noisy < bestCost) {
            bestCost = noisy;
            best.index = index;
            best.expectedWaitMillis = wait;
            best.reason = absl::StrFormat("%s: wait %.0f ms, recompute %.0f ms",
                                          holdsHistory      ? "holds the history"
                                              : holdsShared ? "holds the common prompt"
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

double expectedWaitMillis(const ReplicaView &view, const PlacementQuery &question)
{
    const double ahead = view.running + view.waiting + 1 - question.maxBatchSize;
    if (ahead <= 0) {
        return 0;
    }
    return ahead * question.meanServiceMillis / question.maxBatchSize;
}

PlacementDecision chooseReplica(PolicyKind policy, const std::vector<ReplicaView> &views,
                                const PlacementQuery &question, std::mt19937_64 &random)
{
    switch (policy) {
    case PolicyKind::RoundRobin:
        return {question.turn % views.size(), 0, "next in turn"};
    case PolicyKind::LeastLoad:
        return {leastLoaded(views, random), 0, "least load"};
    case PolicyKind::PrefixFifo: {
        const std::optional<std::size_t> prefix = indexOf(views, question.prefixReplica);
        if (prefix.has_value()) {
            return {*prefix, expectedWaitMillis(views[*prefix], question), "holds the history"};
        }
        return {leastLoaded(views, random), 0, "least load"};
    }
    case PolicyKind::Program:
        return placeByCost(views, question, random);
    }
    return {};
}

bool usesPermits(PolicyKind policy)
{
    return policy == PolicyKind::PrefixFifo || policy == PolicyKind::Program;
}

Milliseconds shedLimit(ServiceClass serviceClass, bool started, Milliseconds queueTimeout)
{
    if (serviceClass == ServiceClass::Alert) {
        return Milliseconds::max();
    }
    // New programs are shed at half the wait at which programs under way are,
    // and less urgent classes before more urgent ones.
    constexpr int QuartersOfClass[] = {4, 4, 3, 2};
    const int quarters = QuartersOfClass[static_cast<std::size_t>(serviceClass)];
    const Milliseconds limit = queueTimeout * quarters / 4;
    return started ? queueTimeout : limit / 2;
}

} // namespace boragepath
