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

TEST(ReplicaLimitTest, CallersAreServedByTheReplicasThatHaveRoom)
{
    LimitedFleet fleet({11, 12, 24, 150});
    runWithLimit(fleet, 8, RequestRate(5));
    EXPECT_EQ(fleet.refused(), 0U);
}

TEST(ReplicaLimitTest, LimitsAreUsedWhileCallersWaitForThem)
{
    constexpr Seconds SteadyTime{8};
    constexpr double LeastUse = 0.6;
    const std::pair<FleetSetup, double> cases[] = {
        {{11, 12, 24, 150}, 1.7}, {{11, 3, 6, 100, false}, 6.5}, {{77, 24, 24, 300}, 1.1}};
    for (const auto &[setup, limit] : cases) {
        SCOPED_TRACE(setup.vms);
        LimitedFleet fleet(setup);
        runWithLimit(fleet, setup.replicas, RequestRate(limit));
        EXPECT_EQ(fleet.limitViolations(), std::vector<std::string>());
        std::size_t arrivals = 0;
        for (std::size_t replica = 0; replica < setup.replicas; ++replica) {
            arrivals += fleet.arrivalsWithin(replica, SteadyTime);
        }
        const double allowed = limit * static_cast<double>(SteadyTime.count() * setup.replicas);
        EXPECT_GE(static_cast<double>(arrivals), LeastUse * allowed);
    }
}

TEST(ReplicaLimitTest, LimitHoldsWhileVmsAreCutOffFromEachOtherAndDatagramsGetLost)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        SCOPED_TRACE(seed);
        LimitedFleet fleet({11, 12, 24, 150, true, seed});
        fleet.lossRate = 0.1 * static_cast<double>(seed - 1);
        runWithLimit(fleet, 10, RequestRate(4));
        fleet.cutAt(1 + 2 * seed);
        fleet.run(Seconds(7));
        fleet.heal();
        fleet.run(Seconds(3));
        for (std::size_t vm = 0; vm < 4; ++vm) {
            fleet.isolate(vm);
            fleet.run(Milliseconds(700));
        }
        fleet.heal();
        fleet.run(Seconds(5));
        EXPECT_EQ(fleet.limitViolations(), std::vector<std::string>());
    }
}

TEST(ReplicaLimitTest, LimitThatFallsFarIsKept)
{
    LimitedFleet fleet({11, 12, 24, 400});
    runWithLimit(fleet, 12, RequestRate(50));
    EXPECT_EQ(fleet.limitViolations(), std::vector<std::string>());
    runWithLimit(fleet, 12, RequestRate(1));
    EXPECT_EQ(fleet.limitViolations(), std::vector<std::string>());
}

TEST(ReplicaLimitTest, ReplicaIsUsedAsBeforeSoonAfterItsLimitHasEnded)
{
    LimitedFleet fleet({11, 12, 24, 150});
    runWithLimit(fleet, 8, RequestRate(2));
    for (std::size_t replica = 0; replica < 8; ++replica) {
        fleet.setLimit(replica, std::nullopt);
    }
    fleet.run(Seconds(3));
    fleet.run(Seconds(4));
    for (std::size_t replica = 0; replica < 8; ++replica) {
        EXPECT_GT(fleet.arrivalsWithin(replica, Seconds(4)), 4 * 2 * 2U) << replica;
    }
}

} // namespace boragepath
