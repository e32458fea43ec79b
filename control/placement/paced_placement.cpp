#include "control/placement/paced_placement.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

namespace boragepath {

namespace {

/** The warm replica is left if another one is done earlier by more than this, in typical
 * durations of a request. */
constexpr double WarmMargin = 0.1;

/** Cost of extra work for the requests behind it, per unit of it, where all replicas are full. */
constexpr double MaxExtraWorkPrice = 2;

/** In which order candidates are considered: those that others can replace come last. */
int rankOf(const PacedCandidate &candidate)
{
    return (candidate.hasRoom ? 0 : 2) + (candidate.isAvoided ? 1 : 0);
}

/** Rendezvous weight in proportion to the speed of the replica. */
double drawWeight(const PacedCandidate &candidate, std::string_view key)
{
    const auto hash = static_cast<double>(rendezvousWeight(key, candidate.id.value()));
    const double uniform = (hash + 1) / (std::ldexp(1.0, 64) + 2);
    return -1 / (std::log(uniform) * candidate.completion.slowness);
}

/** The two candidates with the highest weights for a key, by their indices. */
struct DrawnPair
{
    std::optional<std::size_t> first;
    std::optional<std::size_t> second;
};

/** Draws among the candidates of the best rank. */
DrawnPair drawPair(const std::vector<PacedCandidate> &candidates, std::string_view key)
{
    int bestRank = std::numeric_limits<int>::max();
    for (const PacedCandidate &candidate : candidates) {
        bestRank = std::min(bestRank, rankOf(candidate));
    }
    DrawnPair drawn;
    double firstWeight = 0;
    double secondWeight = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (rankOf(candidates[index]) != bestRank) {
            continue;
        }
        const double weight = drawWeight(candidates[index], key);
        if (!drawn.first.has_value() || weight > firstWeight) {
            drawn.second = drawn.first;
            secondWeight = firstWeight;
            drawn.first = index;
            firstWeight = weight;
        } else if (!drawn.second.has_value() || weight > secondWeight) {
            drawn.second = index;
            secondWeight = weight;
        }
    }
    return drawn;
}

} // namespace

void addExtraWorkPrice(std::vector<PacedCandidate> &candidates)
{
    double utilization = 0;
    for (const PacedCandidate &candidate : candidates) {
        const CompletionInputs &inputs = candidate.completion;
        const auto slots = static_cast<double>(std::max<std::int64_t>(1, inputs.slots));
        utilization += std::min(1.0, inputs.requestsAhead / slots);
    }
    utilization /= static_cast<double>(std::max<std::size_t>(1, candidates.size()));
    for (PacedCandidate &candidate : candidates) {
        candidate.completion.extraWork *= 1 + MaxExtraWorkPrice * utilization * utilization;
    }
}

std::optional<std::size_t> choosePaced(const std::vector<PacedCandidate> &candidates,
                                       std::string_view key)
{
    const auto completionOf = [&](std::size_t index) {
        return expectedCompletion(candidates[index].completion);
    };
    const DrawnPair drawn = drawPair(candidates, key);
    std::optional<std::size_t> chosen = drawn.first;
    if (drawn.second.has_value() && completionOf(*drawn.second) < completionOf(*drawn.first)) {
        chosen = drawn.second;
    }
    const auto warm = std::find_if(candidates.begin(), candidates.end(),
                                   [](const PacedCandidate &item) { return item.isWarm; });
    if (warm != candidates.end()
        && expectedCompletion(warm->completion) <= completionOf(*chosen) + WarmMargin) {
        return static_cast<std::size_t>(warm - candidates.begin());
    }
    return chosen;
}

} // namespace boragepath
