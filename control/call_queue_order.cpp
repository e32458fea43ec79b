#include "control/call_queue_order.h"

#include <algorithm>
#include <tuple>

namespace boragepath {

bool precedes(const QueuedCall &left, const QueuedCall &right, SteadyTime now)
{
    const auto rank = [now](const QueuedCall &call) {
        const SteadyTime deadline = call.programDeadline.value_or(call.queuedAt);
        const bool missed = call.programDeadline.has_value() && deadline <= now;
        return std::make_tuple(missed, call.priority, !call.programStarted, deadline,
                               call.queuedAt);
    };
    return rank(left) < rank(right);
}

void sortCallQueue(std::vector<QueuedCall> &calls, SteadyTime now)
{
    std::stable_sort(calls.begin(), calls.end(),
                     [now](const QueuedCall &left, const QueuedCall &right) {
                         return precedes(left, right, now);
                     });
}

} // namespace boragepath
