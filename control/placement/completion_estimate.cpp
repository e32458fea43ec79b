#include "control/placement/completion_estimate.h"

#include <algorithm>
#include <cmath>

namespace boragepath {

double expectedWait(double requestsAhead, std::int64_t slots)
{
    const double capacity = static_cast<double>(std::max<std::int64_t>(1, slots));
    const double certain = std::max(0.0, requestsAhead + 1 - capacity) / capacity;
    // The estimate of the requests ahead is uncertain, so that a nearly full replica may be full;
    // the exponent is that of Sakasegawa's approximation of the M/M/c queue.
    const double utilization = std::clamp(requestsAhead / capacity, 0.0, 1.0);
    const double possible = std::pow(utilization, std::sqrt(2 * (capacity + 1))) / capacity;
    return certain + possible;
}

double expectedCompletion(const CompletionInputs &inputs)
{
    const double durations =
        1 + inputs.extraWork + expectedWait(inputs.requestsAhead, inputs.slots);
    return durations * inputs.slowness + inputs.networkTime;
}

} // namespace boragepath
