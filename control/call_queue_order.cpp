#include "control/call_queue_order.h"

#include <algorithm>
#include <tuple>

namespace boragepath {

bool goesBefore(const WaitingCall &left, const WaitingCall &right, SteadyTime now)
{
    const auto rank = [now](const WaitingCall &call) {
        const SteadyTime due = call.programDeadline.value_or(call.since);
        const bool late = call.programDeadline.has_value() && due <= now;
        return std::make_tuple(late, call.priority, !call.underWay, due, call.since);
    };
    return rank(left) < rank(right);
}

void sortWaiting(std::vector<WaitingCall> &calls, SteadyTime now)
{
    std::stable_sort(calls.begin(), calls.end(),
                     [now](const WaitingCall &left, const WaitingCall &right) {
                         return goesBefore(left, right, now);
                     });
}

} // namespace boragepath
