// Choice among replicas whose speed changes.

#include "control/placement/paced_placement.h"
#include "core/hash.h"
#include "tests/support/paced_fleet.h"

#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

#include <cstdio>

namespace boragepath {

namespace {

std::vector<PacedCandidate> candidates(int count)
{
    std::vector<PacedCandidate> result(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        result[static_cast<std::size_t>(index)].id = ReplicaId(absl::StrCat("r", index));
        result[static_cast<std::size_t>(index)].completion.slots = 8;
    }
    return result;
}

TurnTimes meanOfSeeds(double load, bool reportsPace, bool keepsVm)
{
    constexpr std::uint64_t Seeds = 5;
    TurnTimes sum;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const PacedFleet::Setup setup{load, reportsPace, keepsVm, Milliseconds(400), seed};
        const TurnTimes times = PacedFleet(setup).run(Seconds(45));
        sum.mean += times.mean / Seeds;
        sum.p95 += times.p95 / Seeds;
        sum.turns += times.turns;
    }
    return sum;
}

} // namespace

// Guards against all VMs choosing the one replica that has just reported the best pace.
TEST(PacedPlacementTest, RequestsAreSpreadAlthoughOneReplicaIsTheFastest)
{
    std::vector<PacedCandidate> replicas = candidates(40);
    replicas[7].completion.slowness = 0.4;
    int fastest = 0;
    for (int request = 0; request < 1'000; ++request) {
        fastest += choosePaced(replicas, absl::StrCat("request-", request)) == 7U ? 1 : 0;
    }
    EXPECT_GT(fastest, 50);
    EXPECT_LT(fastest, 200);
    EXPECT_EQ(choosePaced({}, "request"), std::nullopt);
}

// Guards against prompts that are read again for a short slowness, or stay at a slow replica.
TEST(PacedPlacementTest, PromptStaysUnlessItsReplicaCostsMoreThanReadingItAgain)
{
    std::vector<PacedCandidate> replicas = candidates(10);
    for (PacedCandidate &replica : replicas) {
        replica.completion.extraWork = 0.5;
    }
    replicas[3].isWarm = true;
    replicas[3].completion.extraWork = 0;
    replicas[3].completion.slowness = 1.4;
    EXPECT_EQ(choosePaced(replicas, "program"), 3U);
    replicas[3].completion.slowness = 2.5;
    EXPECT_NE(choosePaced(replicas, "program"), 3U);
    replicas[3].completion.slowness = 1;
    replicas[3].completion.requestsAhead = 14;
    EXPECT_NE(choosePaced(replicas, "program"), 3U);
    for (PacedCandidate &replica : replicas) {
        replica.completion.requestsAhead = 12;
    }
    addExtraWorkPrice(replicas);
    replicas[3].completion.requestsAhead = 20;
    EXPECT_EQ(choosePaced(replicas, "program"), 3U);
}

TEST(PacedPlacementTest, FullAndAvoidedReplicasComeLast)
{
    std::vector<PacedCandidate> replicas = candidates(3);
    replicas[0].hasRoom = false;
    replicas[1].isAvoided = true;
    EXPECT_EQ(choosePaced(replicas, "request"), 2U);
    replicas[2].hasRoom = false;
    EXPECT_EQ(choosePaced(replicas, "request"), 1U);
}

// Guards against other decisions where no replica reports a pace. The hash of the decisions is that
// of the version before paces were read.
TEST(PacedPlacementTest, DecisionsWithoutReportedPaceAreUnchanged)
{
    ManualClock clock;
    ReplicaTable table(clock);
    std::mt19937_64 random(5);
    for (int index = 0; index < 12; ++index) {
        ReplicaEntry entry;
        entry.id = ReplicaId(absl::StrCat("r", index));
        entry.zone = ZoneId(index % 2 == 0 ? "a" : "b");
        entry.slots = 4;
        table.put(entry);
    }
    std::string decisions;
    std::vector<ReplicaId> open;
    for (int step = 0; step < 5'000; ++step) {
        clock.advance(Milliseconds(random() % 40));
        PlacementRequest request;
        request.zone = ZoneId("a");
        request.affinityKey = random() % 3 == 0 ? "" : absl::StrCat("p", random() % 50);
        request.warmReplica = ReplicaId(absl::StrCat("r", random() % 15));
        request.warmState = random() % 2 == 0 ? WarmState::Prompt : WarmState::Object;
        request.avoidedReplicas = {ReplicaId(absl::StrCat("r", random() % 12))};
        const ReplicaState *chosen = chooseReplica(table, request, clock.now());
        absl::StrAppend(&decisions, chosen->entry.id.value(), isFull(*chosen, clock.now()), " ");
        table.beginRequest(chosen->entry.id);
        open.push_back(chosen->entry.id);
        while (open.size() > random() % 50) {
            ReplicaObservation observation;
            const auto running = static_cast<std::int64_t>(random() % 5);
            observation.load = ReportedLoad{running, running / 4, 4};
            observation.eventInterval = Milliseconds(10 + random() % 30);
            observation.outcome = random() % 30 == 0 ? ReplicaObservation::Outcome::Declined
                                                     : ReplicaObservation::Outcome::Served;
            table.endRequest(open.front(), observation);
            open.erase(open.begin());
        }
    }
    EXPECT_EQ(hashOf(decisions), 4'652'050'576'526'046'367U);
}

// Guards against placement that reacts to the pace and makes turns slower. Simulated: 40 replicas,
// half of them lastingly slow, with interference, and 80 VMs.
TEST(PacedPlacementTest, TurnsEndEarlierWithReportedPace)
{
    for (const double load : {0.5, 0.8, 1.1}) {
        for (const bool keepsVm : {false, true}) {
            const TurnTimes off = meanOfSeeds(load, false, keepsVm);
            const TurnTimes on = meanOfSeeds(load, true, keepsVm);
            std::printf("load %.1f, %s VM: mean %.0f -> %.0f ms, p95 %.0f -> %.0f ms, %zu turns\n",
                        load, keepsVm ? "same" : "any", off.mean, on.mean, off.p95, on.p95,
                        on.turns);
            const double bound = load < 1 ? 0.95 : 1;
            EXPECT_LE(on.mean, off.mean * bound) << load;
            EXPECT_LE(on.p95, off.p95 * bound) << load;
        }
    }
}

} // namespace boragepath
