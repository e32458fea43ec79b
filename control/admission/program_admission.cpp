#include "control/admission/program_admission.h"

#include "core/hash.h"

#include <algorithm>

namespace boragepath {

namespace {

constexpr double ReportWeight = 0.2;
/** After this time without a report, programs begin, so that the load is seen again. */
constexpr Milliseconds ReportLifetime{1'000};
constexpr double FullUtilization = 1.0;
/** Callers wait for up to a third of their remaining time, which is some seconds. */
constexpr Milliseconds ShortestRetryDelay{1'000};
constexpr Milliseconds RetrySpread{400};

} // namespace

void recordReport(ReportedUtilization &utilization, std::int64_t requests, std::int64_t slots,
                  SteadyTime now)
{
    const double reported =
        static_cast<double>(requests) / static_cast<double>(std::max<std::int64_t>(1, slots));
    utilization.mean += (reported - utilization.mean) * ReportWeight;
    utilization.reportedAt = now;
}

bool mayBeginProgram(const ServiceLoad &load, SteadyTime now)
{
    const bool isReported = now < load.utilization.reportedAt + ReportLifetime;
    const bool isFull = isReported && load.utilization.mean >= FullUtilization;
    return load.waitingCalls == 0 && !isFull;
}

Milliseconds programRetryDelay(std::string_view program)
{
    const auto spread = static_cast<std::uint64_t>(RetrySpread.count());
    return ShortestRetryDelay + Milliseconds(hashOf(program) % spread);
}

} // namespace boragepath
