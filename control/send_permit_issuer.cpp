#include "control/send_permit_issuer.h"

#include <algorithm>

namespace boragepath {

namespace {

/** Replicas whose schedules are kept; more name a limit at the same time. */
constexpr std::size_t MaxSchedules = 1'000;
/** After this time, all permits that another issuer has granted have been used or have expired. */
constexpr Milliseconds QuietPeriod = MaxPermitDelay + PermitValidity;
/** Between requests to a replica that takes none, so that the end of the limit is noticed. */
constexpr Seconds ZeroRateInterval{5};
constexpr Seconds LongestInterval{3'600};

Duration intervalAt(RequestRate rate)
{
    if (rate.value() <= 0) {
        return ZeroRateInterval;
    }
    const std::chrono::duration<double> interval(
        std::min<double>(1 / rate.value(), LongestInterval.count()));
    return std::chrono::duration_cast<Duration>(interval);
}

} // namespace

SendPermitIssuer::SendPermitIssuer(const Clock &clock, std::uint64_t seed)
    : m_clock(clock)
    , m_random(seed)
    , m_schedules(MaxSchedules)
{ }

SendPermitDecision SendPermitIssuer::decide(const ReplicaFingerprint &replica, RequestRate rate,
                                            Duration maxDelay)
{
    const SteadyTime now = m_clock.now();
    const bool isNew = m_schedules.find(replica) == nullptr;
    Schedule &schedule = m_schedules.put(replica);
    if (isNew) {
        schedule.startsAt = now + QuietPeriod;
    }
    const Duration interval = intervalAt(rate);
    SteadyTime next = std::max(now, schedule.startsAt);
    if (schedule.lastPermitAt.has_value()) {
        next = std::max(next, *schedule.lastPermitAt + interval);
    }
    const Duration delay = next - now;
    const Duration patience = std::min<Duration>(maxDelay, MaxPermitDelay);
    if (delay <= patience) {
        schedule.lastPermitAt = next;
        return {true, delay};
    }
    // The VMs that wait for the same replica must not all ask again at the same moment.
    std::uniform_int_distribution<Duration::rep> spread(0, interval.count());
    return {false, delay - patience + Duration(spread(m_random))};
}

} // namespace boragepath
