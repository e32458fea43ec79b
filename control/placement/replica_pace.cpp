#include "control/placement/replica_pace.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace boragepath {

namespace {

constexpr double UsualPace = 100;
constexpr Milliseconds PaceHalfLife{300};
/** Spans of interference have ended by then. */
constexpr Milliseconds MaxPaceAge{3'000};
/** Weight of the newest sample in the means, once there are enough samples. */
constexpr double MinSampleWeight = 0.1;
/** Lasting speeds outside these factors come from too few or odd requests. */
constexpr double MinLastingSlowness = 0.3;
constexpr double MaxLastingSlowness = 4;

/** The weight of the newest of so many samples: a plain mean first, then one that moves on. */
double sampleWeight(std::int64_t samples)
{
    return std::max(MinSampleWeight, 1 / static_cast<double>(std::max<std::int64_t>(1, samples)));
}

void moveTowards(double &mean, double sample, std::int64_t samples)
{
    mean += (sample - mean) * sampleWeight(samples);
}

} // namespace

void recordPace(PaceRecord &record, ReplicaPace pace, SteadyTime readAt)
{
    if (record.latest.has_value() && readAt < record.reportedAt) {
        return;
    }
    record.latest = pace;
    record.reportedAt = readAt;
}

void recordResponse(PaceRecord &record, Duration response, ReplicaPace pace)
{
    record.responses += 1;
    moveTowards(record.meanPace, static_cast<double>(pace.value()), record.responses);
    auto mean = static_cast<double>(record.meanResponse.count());
    moveTowards(mean, static_cast<double>(response.count()), record.responses);
    record.meanResponse = Duration(static_cast<Duration::rep>(mean));
}

void recordOtherRequests(PaceRecord &record, double requests)
{
    record.loadReports += 1;
    moveTowards(record.meanOtherRequests, requests, record.loadReports);
}

std::optional<Duration> paceAge(const PaceRecord &record, SteadyTime now)
{
    return record.latest.has_value() ? std::optional(now - record.reportedAt) : std::nullopt;
}

double momentarySlowness(const PaceRecord &record, SteadyTime now)
{
    const std::optional<Duration> age = paceAge(record, now);
    if (!age.has_value() || *age >= MaxPaceAge) {
        return 1;
    }
    const std::chrono::duration<double> elapsed = std::max(*age, Duration::zero());
    const double freshness = std::exp2(-elapsed / std::chrono::duration<double>(PaceHalfLife));
    const double meanPace = record.responses == 0 ? UsualPace : record.meanPace;
    const double reported = static_cast<double>(record.latest->value()) / meanPace;
    return 1 + (reported - 1) * freshness;
}

double lastingSlowness(const PaceRecord &record, Duration typicalResponse)
{
    if (record.responses == 0 || typicalResponse <= Duration::zero()) {
        return 1;
    }
    const double slowness = static_cast<double>(record.meanResponse.count())
        / static_cast<double>(typicalResponse.count());
    return std::clamp(slowness, MinLastingSlowness, MaxLastingSlowness);
}

} // namespace boragepath
