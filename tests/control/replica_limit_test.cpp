// Replicas that name the requests a second that they take from all VMs together.
//
// Guards against a replica that gets far more requests than the limit that it has named: VMs that
// do not heed the limit, or of which each one takes all of it for itself.

#include "tests/support/limited_fleet.h"

#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

namespace boragepath {

namespace {

constexpr Seconds TimeBefore{3};
constexpr Seconds TimeLimited{14};

/** Runs the fleet before, while and after some of its replicas name a limit. */
void runWithLimit(LimitedFleet &fleet, std::size_t replicas, RequestRate limit)
{
    fleet.run(TimeBefore);
    for (std::size_t index = 0; index < replicas; ++index) {
        fleet.setLimit(index, limit);
    }
    fleet.run(TimeLimited);
}

} // namespace

TEST(ReplicaLimitTest, ReplicaThatNamesALimitGetsNoMoreThanThatFromAllVmsTogether)
{
    struct Case
    {
        const char *what;
        FleetSetup setup;
        std::size_t limited;
        RequestRate limit;
    };
    const Case cases[] = {
        {"most replicas of an engine", {11, 12, 24, 150}, 8, RequestRate(5)},
        {"nearly all replicas, and far more requests", {11, 12, 24, 150}, 11, RequestRate(1.7)},
        {"a plain service", {11, 3, 6, 100, false}, 2, RequestRate(6.5)},
        {"many VMs", {77, 24, 24, 300}, 17, RequestRate(1.1)},
        {"hundreds of VMs", {295, 128, 6, 2'000}, 103, RequestRate(1)},
        {"hundreds of VMs, and few replicas without a limit",
         {295, 128, 6, 600},
         120,
         RequestRate(1.4)},
    };
    for (const Case &item : cases) {
        SCOPED_TRACE(item.what);
        LimitedFleet fleet(item.setup);
        runWithLimit(fleet, item.limited, item.limit);
        EXPECT_EQ(fleet.limitViolations(), std::vector<std::string>());
    }
}

} // namespace boragepath
