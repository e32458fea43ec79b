// The decision of one VM on the requests of one organisation.
//
// Guards against programs that begin and are then cut off by the quota, quotas that stay unused,
// and bursts that are granted again after a change of the VM that decides.

#include "control/quotas/quota_bucket.h"
#include "tests/support/quota_fleet.h"

#include <gtest/gtest.h>

namespace boragepath {

namespace {

const RequestQuota Quota{RequestRate(100), 100};
const QuotaTolerance Tolerance;
const ProgramFingerprint NoProgram;

/** Programs of one organisation at the only VM of a fleet, for a minute. */
QuotaLoadResult runAlone(QuotaLoad load, double &useOfQuota)
{
    QuotaFleet fleet(1, 1);
    fleet.run(Seconds(10));
    const std::size_t organisation = fleet.addOrganisation(load);
    fleet.run(Seconds(60));
    useOfQuota = fleet.useOfQuota(organisation, Seconds(45));
    return fleet.result(organisation);
}

/** Programs completed of those that have begun, without those that may still be in progress. */
double completedShare(const QuotaLoadResult &result)
{
    constexpr double InProgressAtEnd = 50;
    return static_cast<double>(result.completed)
        / std::max(1.0, static_cast<double>(result.begun) - InProgressAtEnd);
}

/** One bucket and its clock. */
class QuotaBucketTest : public testing::Test
{
protected:
    bool claim(std::int64_t program, bool mayBegin)
    {
        return decideClaim(m_state, m_limits, {ProgramFingerprint(program), mayBegin}, m_now,
                           m_random)
            .granted;
    }
    /** Claims without a program that are granted now. */
    int take()
    {
        int granted = 0;
        while (claim(0, false)) {
            granted += 1;
        }
        return granted;
    }

    QuotaState m_state;
    QuotaLimits m_limits = quotaLimits(Quota, Tolerance, 1, 1);
    SteadyTime m_now{std::chrono::hours(1)};
    std::mt19937_64 m_random{1};
};

} // namespace

TEST(QuotaLoadTest, ProgramsThatBeginCompleteAtAnyMultipleOfTheQuota)
{
    for (const double factor : {1.0, 5.0, 7.0}) {
        SCOPED_TRACE(factor);
        double use = 0;
        const QuotaLoadResult result = runAlone({Quota, factor * Quota.rate.value()}, use);
        EXPECT_GE(completedShare(result), 0.98);
        EXPECT_GE(use, 0.95);
        if (factor > 1) {
            SCOPED_TRACE("without programs, the same load is cut off somewhere in most of them");
            QuotaLoad load{Quota, factor * Quota.rate.value()};
            load.namesPrograms = false;
            const QuotaLoadResult plain = runAlone(load, use);
            EXPECT_LT(completedShare(plain), 0.5);
            EXPECT_LT(2 * plain.completed, result.completed);
        }
    }
}

TEST(QuotaLoadTest, MeanThatIsWrongByAFactorOfTwoIsCorrected)
{
    // The assumed mean is 10.
    for (const std::size_t requests : {5, 20}) {
        SCOPED_TRACE(requests);
        QuotaLoad load{Quota, 5 * Quota.rate.value()};
        load.fewestRequests = requests - 1;
        load.mostRequests = requests + 1;
        double use = 0;
        const QuotaLoadResult result = runAlone(load, use);
        EXPECT_GE(completedShare(result), 0.9);
        EXPECT_GE(use, 0.95);
    }
}

TEST_F(QuotaBucketTest, RunawayProgramLeavesRoomForTheProgramsOfItsOrganisation)
{
    startFull(m_state, m_limits, m_now);
    constexpr std::int64_t Runaway = 1;
    constexpr int RequestsOfProgram = 10;
    int begun = 0;
    int refused = 0;
    int cutOff = 0;
    int runawayGranted = 0;
    // Programs ask for half of the quota, the runaway program for five times as much as it.
    for (int step = 0; step < 3'000; ++step) {
        m_now += Milliseconds(10);
        for (int call = 0; call < 5; ++call) {
            runawayGranted += claim(Runaway, false) ? 1 : 0;
        }
        if (step % 20 == 0) {
            const bool mayBegin = claim(1'000 + step, true);
            (mayBegin ? begun : refused) += 1;
            for (int call = 1; mayBegin && call < RequestsOfProgram; ++call) {
                cutOff += claim(1'000 + step, false) ? 0 : 1;
            }
        }
    }
    EXPECT_GE(begun, 3 * refused);
    EXPECT_EQ(cutOff, 0);
    EXPECT_GT(runawayGranted, 500);
}

TEST_F(QuotaBucketTest, StateThatKnowsNothingStartsWithASmallAmount)
{
    EXPECT_LE(take(), static_cast<int>(0.1 * toleratedExcess(Quota, Tolerance)));
    m_now += Seconds(1);
    EXPECT_EQ(take(), 50) << "half of the rate until the VM before must have noticed";
    m_now += Seconds(60);
    EXPECT_EQ(take(), 100);
}

TEST_F(QuotaBucketTest, OverdraftIsForProgramsUnderWayAndBounded)
{
    startFull(m_state, m_limits, m_now);
    EXPECT_EQ(take(), 100);
    EXPECT_FALSE(claim(7, true));
    int granted = 0;
    for (std::int64_t program = 100; claim(program, false); ++program) {
        granted += 1;
    }
    EXPECT_EQ(granted, static_cast<int>(m_limits.overdraft));
    EXPECT_LE(granted, 0.4 * toleratedExcess(Quota, Tolerance));
}

TEST_F(QuotaBucketTest, LowerQuotaHoldsAtOnce)
{
    startFull(m_state, m_limits, m_now);
    m_limits = quotaLimits({RequestRate(10), 5}, Tolerance, 1, 1);
    EXPECT_EQ(take(), 5);
    m_now += Milliseconds(300);
    EXPECT_EQ(take(), 3);
}

TEST_F(QuotaBucketTest, ReturnedRequestsAreGrantedAgainButNeverMoreThanTheBurst)
{
    startFull(m_state, m_limits, m_now);
    EXPECT_EQ(take(), 100);
    returnGrant(m_state, m_limits, NoProgram);
    EXPECT_EQ(take(), 1);
    returnGrant(m_state, m_limits, ProgramFingerprint(7));
    EXPECT_EQ(take(), 0) << "nothing had been granted to that program here";
    for (int count = 0; count < 500; ++count) {
        returnGrant(m_state, m_limits, NoProgram);
    }
    EXPECT_LE(take(), 100);
}

TEST_F(QuotaBucketTest, NextVmGoesOnFromTheLevelThatIsHandedOver)
{
    EXPECT_GT(take(), 0);
    takeOver(m_state, m_limits, {60, 4, 10, {ProgramFingerprint(7)}}, m_now);
    EXPECT_LT(take(), 60) << "less what has been granted here since";
    EXPECT_TRUE(claim(7, true)) << "a program under way there is under way here";
    takeOver(m_state, m_limits, {60, 4, 10, {}}, m_now);
    EXPECT_EQ(take(), 0) << "a second one is ignored";
}

TEST(LocalQuotaTest, VmsWithoutAnAnswerTakeASmallPartTogether)
{
    const double bound = 0.12 * toleratedExcess(Quota, Tolerance);
    for (const std::size_t vms : {11, 70, 300}) {
        SCOPED_TRACE(vms);
        const LocalQuotaLimits limits = localQuotaLimits(Quota, Tolerance, vms);
        std::mt19937_64 random(1);
        std::vector<LocalShare> shares(vms);
        int granted = 0;
        constexpr int Windows = 100;
        for (int tenth = 0; tenth < 50 * Windows; ++tenth) {
            const SteadyTime now{std::chrono::hours(1) + Milliseconds(100 * tenth)};
            for (LocalShare &share : shares) {
                granted += takeLocalShare(share, limits, now, random) ? 1 : 0;
            }
        }
        EXPECT_LE(granted, Windows * bound);
        EXPECT_GE(granted, Windows * bound / 4);
    }
}

} // namespace boragepath
