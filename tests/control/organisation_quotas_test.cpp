// Quotas of organisations over all VMs of a simulated fleet.
//
// Guards against organisations that get more than their quota because several VMs grant it, at
// changes of the coordinator above all, and against those refused that are within their quota.

#include "tests/support/quota_fleet.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <iostream>
#include <tuple>

namespace boragepath {

namespace {

/** Longer than a window; the VMs know each other by then. */
constexpr Seconds WarmUp{10};
constexpr Seconds LoadTime{40};

/** A fleet in which organisations ask for five times their quotas, at all VMs. */
struct OverloadedFleet
{
    OverloadedFleet(std::size_t vms, std::uint64_t seed)
        : fleet(vms, seed)
    {
        fleet.run(WarmUp);
        since = fleet.now();
        for (const double rate : {2.0, 20.0, 100.0, 400.0}) {
            fleet.addOrganisation({{RequestRate(rate), rate}, 5 * rate});
        }
        fleet.run(Seconds(10));
    }

    void expectWithinBound(const char *what)
    {
        for (std::size_t organisation = 0; organisation < 4; ++organisation) {
            SCOPED_TRACE(organisation);
            const double excess = fleet.worstExcess(organisation, since);
            std::cout << what << ", organisation " << organisation << ": worst excess " << excess
                      << ", use " << fleet.useOfQuota(organisation, Seconds(10)) << "\n";
            EXPECT_LE(excess, 1);
            // At two requests a second, ten seconds have room for two programs only.
            const Seconds span(organisation == 0 ? 30 : 10);
            EXPECT_GT(fleet.useOfQuota(organisation, span), 0.5);
        }
    }

    QuotaFleet fleet;
    SteadyTime since;
};

} // namespace

/** Runs organisations at five times their quotas, with calls at one, some and all VMs. */
class QuotaUseTest : public testing::TestWithParam<std::tuple<std::size_t, std::size_t>>
{
protected:
    QuotaUseTest()
        : m_fleet(std::get<0>(GetParam()), 1)
    {
        m_fleet.run(WarmUp);
        m_since = m_fleet.now();
        for (const double rate : {20.0, 100.0, 400.0}) {
            QuotaLoad load{{RequestRate(rate), rate}, 5 * rate};
            load.vms = std::get<1>(GetParam());
            m_organisations.push_back(m_fleet.addOrganisation(load));
        }
        m_fleet.run(LoadTime);
    }

    QuotaFleet m_fleet;
    SteadyTime m_since;
    std::vector<std::size_t> m_organisations;
};

TEST_P(QuotaUseTest, QuotaIsUsedAndKeptWhereverTheCallsAre)
{
    for (const std::size_t organisation : m_organisations) {
        const double use = m_fleet.useOfQuota(organisation, Seconds(30));
        const double excess = m_fleet.worstExcess(organisation, m_since);
        std::cout << "organisation " << organisation << ": use " << use << ", worst excess "
                  << excess << "\n";
        EXPECT_LE(excess, 1);
        EXPECT_GE(use, 0.95);
    }
}

TEST_P(QuotaUseTest, CallsOfProgramsUnderWayAreNotRefused)
{
    for (const std::size_t organisation : m_organisations) {
        EXPECT_LE(m_fleet.result(organisation).callsRefused, 5U) << organisation;
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, QuotaUseTest,
                         testing::Combine(testing::Values(11, 70, 300), testing::Values(1, 3, 0)));

TEST(OrganisationQuotasTest, NobodyWithinItsQuotaIsRefused)
{
    for (const std::size_t vms : {11, 70, 300}) {
        for (const std::size_t vmsWithCalls : {std::size_t(1), vms}) {
            SCOPED_TRACE(testing::Message() << vmsWithCalls << " of " << vms);
            QuotaFleet fleet(vms, 1);
            fleet.run(WarmUp);
            for (const double rate : {30.0, 100.0, 400.0}) {
                QuotaLoad load{{RequestRate(rate), rate}, 0.5 * rate};
                load.vms = vmsWithCalls;
                fleet.addOrganisation(load);
            }
            // Others don't matter to them.
            fleet.addOrganisation({{RequestRate(30), 30}, 210});
            fleet.run(LoadTime);
            for (std::size_t organisation = 0; organisation < 3; ++organisation) {
                SCOPED_TRACE(organisation);
                EXPECT_EQ(fleet.result(organisation).startsRefused, 0U);
                EXPECT_EQ(fleet.result(organisation).callsRefused, 0U);
            }
        }
    }
}

TEST(OrganisationQuotasTest, BoundHoldsWhenCoordinatorsAreLostOrFrozen)
{
    for (const std::size_t vms : {11, 70}) {
        SCOPED_TRACE(vms);
        OverloadedFleet load(vms, 1);
        for (std::size_t organisation = 0; organisation < 4; ++organisation) {
            const std::size_t coordinator = load.fleet.coordinatorOf(organisation);
            load.fleet.freeze(coordinator);
            load.fleet.run(Seconds(6));
            load.fleet.thaw(coordinator);
            load.fleet.run(Seconds(6));
        }
        load.expectWithinBound("frozen coordinators");
        for (std::size_t organisation = 0; organisation < 4; ++organisation) {
            load.fleet.restart(load.fleet.coordinatorOf(organisation), Milliseconds(700));
            load.fleet.run(Seconds(6));
        }
        load.fleet.run(Seconds(10));
        load.expectWithinBound("restarted coordinators");
    }
}

TEST(OrganisationQuotasTest, BoundHoldsInAPartitionWithBothSidesAliveAndAfterIt)
{
    for (const std::size_t vms : {11, 70}) {
        for (const std::size_t part : {vms / 2, vms / 4}) {
            SCOPED_TRACE(testing::Message() << part << " of " << vms);
            OverloadedFleet load(vms, 2);
            load.fleet.cutAt(part);
            load.fleet.run(Seconds(12));
            load.expectWithinBound("partition");
            load.fleet.heal();
            load.fleet.run(Seconds(12));
            load.expectWithinBound("after the partition");
        }
    }
}

TEST(OrganisationQuotasTest, BoundHoldsWhenAllVmsRestart)
{
    for (const std::size_t vms : {11, 70}) {
        SCOPED_TRACE(vms);
        OverloadedFleet load(vms, 3);
        for (std::size_t vm = 0; vm < vms; ++vm) {
            load.fleet.restart(vm, Milliseconds(300));
        }
        load.fleet.run(Seconds(40));
        load.expectWithinBound("restart of all VMs");
    }
}

TEST(OrganisationQuotasTest, LostDatagramsNeitherBreakTheBoundNorStopTheCalls)
{
    OverloadedFleet load(11, 4);
    load.fleet.lossRate = 0.2;
    load.fleet.run(Seconds(20));
    load.expectWithinBound("a fifth of the datagrams lost");
}

TEST(OrganisationQuotasTest, QuotaThatFallsIsKeptFromOneWindowLater)
{
    QuotaFleet fleet(11, 5);
    fleet.run(WarmUp);
    const std::size_t organisation = fleet.addOrganisation({{RequestRate(400), 400}, 800});
    fleet.run(Seconds(10));
    fleet.setQuota(organisation, {RequestRate(40), 20});
    fleet.run(Seconds(25));
    EXPECT_LE(fleet.worstExcess(organisation, fleet.now() - Seconds(25)), 1);
    EXPECT_GE(fleet.useOfQuota(organisation, Seconds(10)), 0.9);
}

TEST(OrganisationQuotasTest, FailuresKeepTheFiguresOfOperatorsConsistent)
{
    OverloadedFleet load(11, 6);
    load.fleet.lossRate = 0.1;
    load.fleet.run(Seconds(10));
    std::uint64_t granted = 0;
    std::uint64_t decidedAlone = 0;
    for (std::size_t vm = 0; vm < load.fleet.vmCount(); ++vm) {
        for (const QuotaUse &use : load.fleet.use(vm)) {
            granted += use.granted;
            decidedAlone += use.decidedAlone;
            EXPECT_EQ(use.granted + use.refused,
                      use.decidedHere + use.decidedElsewhere + use.decidedAlone);
        }
    }
    std::size_t counted = 0;
    for (std::size_t organisation = 0; organisation < 4; ++organisation) {
        counted += load.fleet.result(organisation).grants.size();
    }
    EXPECT_EQ(granted, counted);
    EXPECT_GT(decidedAlone, 0U);
}

RC_GTEST_PROP(OrganisationQuotasProperty, BoundHoldsInRandomHistories, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    constexpr std::size_t Vms = 7;
    OverloadedFleet load(Vms, seed);
    for (int step = 0; step < 12; ++step) {
        const std::size_t vm = random() % Vms;
        switch (random() % 7) {
        case 0:
            load.fleet.freeze(vm);
            break;
        case 1:
            load.fleet.thaw(vm);
            break;
        case 2:
            load.fleet.restart(vm, Milliseconds(200 + random() % 3'000));
            break;
        case 3:
            load.fleet.cutAt(1 + random() % (Vms - 1));
            break;
        case 4:
            load.fleet.heal();
            break;
        case 5:
            load.fleet.lossRate = static_cast<double>(random() % 4) / 10;
            break;
        default:
            break;
        }
        load.fleet.run(Milliseconds(500 + random() % 4'000));
    }
    for (std::size_t organisation = 0; organisation < 4; ++organisation) {
        RC_ASSERT(load.fleet.worstExcess(organisation, load.since) <= 1);
    }
}

} // namespace boragepath
