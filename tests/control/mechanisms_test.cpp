// Every mechanism is switched off once, to show that its check can fail.

#include "tests/support/simulated_cluster.h"

#include <gtest/gtest.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace boragepath {

namespace {

constexpr Seconds StartTime{8};
constexpr Seconds LongEnough{120};

bool hasBreach(const SimulatedCluster &cluster, const std::string &kind)
{
    return std::any_of(cluster.violations().begin(), cluster.violations().end(),
                       [&](const std::string &line) { return absl::StartsWith(line, kind); });
}

void startAll(SimulatedCluster &cluster)
{
    for (std::size_t vm = 0; vm < 3; ++vm) {
        cluster.start(vm);
    }
    cluster.run(StartTime);
    cluster.putEntry(cluster.makeEntry("entry"));
    cluster.run(Seconds(2));
}

void runSteady(SimulatedCluster &cluster, int programs, int calls, int onceOnlyEvery)
{
    for (int number = 0; number < programs; ++number) {
        Script script;
        script.program = absl::StrCat("steady-", number);
        for (int call = 0; call < calls; ++call) {
            ScriptCall planned;
            planned.nonIdempotent = onceOnlyEvery > 0 && call % onceOnlyEvery == 0;
            planned.pause = Milliseconds(100);
            script.calls.push_back(planned);
        }
        cluster.runScript(script);
    }
}

} // namespace

TEST(Safeguards, IntentsKeepCallsAtMostOnce)
{
    Safeguards without;
    without.calls.intents = false;
    for (const bool on : {true, false}) {
        SCOPED_TRACE(on ? "with intents" : "without intents");
        SimulatedCluster cluster(3, 3, on ? Safeguards{} : without);
        startAll(cluster);
        runSteady(cluster, 1, 2, 2);
        cluster.runUntil([&] { return !cluster.serviceRuns().empty(); }, LongEnough);
        cluster.kill(cluster.ownerOf("entry", "steady-0"));
        cluster.runUntil([&] { return cluster.allScriptsEnded(); }, LongEnough);
        EXPECT_EQ(hasBreach(cluster, "at most once"), !on);
    }
}

TEST(Safeguards, TheFenceConditionKeepsSleepersFromWriting)
{
    Safeguards without;
    without.commits.fenceCondition = false;
    for (const bool on : {true, false}) {
        SCOPED_TRACE(on ? "with the condition" : "without the condition");
        SimulatedCluster cluster(4, 3, on ? Safeguards{} : without);
        startAll(cluster);
        runSteady(cluster, 1, 6, 0);
        const std::size_t sleeper = cluster.ownerOf("entry", "steady-0");
        cluster.run(Milliseconds(500));
        cluster.pause(sleeper);
        cluster.run(Seconds(20));
        cluster.resume(sleeper);
        cluster.run(Seconds(2));
        // Fenced, it has had to become a new incarnation.
        const std::string row =
            *cluster.store().valueOf(keys::vm(VmId(absl::StrCat("vm-", sleeper + 1))));
        EXPECT_EQ(decodeVm(row)->fence != FenceNumber(sleeper + 1)
                      && cluster.node(sleeper)->fence().value() > 3,
                  on);
    }
}

TEST(Safeguards, TheAttemptIdSettlesLostAnswers)
{
    Safeguards without;
    without.commits.attemptId = false;
    for (const bool on : {true, false}) {
        SCOPED_TRACE(on ? "with attempt ids" : "without attempt ids");
        SimulatedCluster cluster(5, 3, on ? Safeguards{} : without);
        startAll(cluster);
        const FenceNumber before = cluster.node(0)->fence();
        cluster.dropStoreAnswers(Seconds(10), 0.3);
        runSteady(cluster, 4, 10, 3);
        cluster.run(Seconds(30));
        EXPECT_EQ(cluster.node(0)->fence() != before, !on);
    }
}

TEST(Safeguards, RecordingBeforeAnsweringKeepsHistory)
{
    Safeguards without;
    without.calls.recordBeforeAnswer = false;
    for (const bool on : {true, false}) {
        SCOPED_TRACE(on ? "recorded first" : "answered first");
        SimulatedCluster cluster(6, 3, on ? Safeguards{} : without);
        startAll(cluster);
        bool down = false;
        cluster.onDispatch([&](std::size_t, const BackendCall &) {
            if (!std::exchange(down, true)) {
                cluster.startStoreOutage(Seconds(2));
            }
        });
        runSteady(cluster, 1, 4, 0);
        const auto answered = [&] {
            return !cluster.results().at("entry/steady-0").verdicts.empty();
        };
        ASSERT_TRUE(cluster.runUntil(answered, LongEnough));
        cluster.kill(cluster.ownerOf("entry", "steady-0"));
        cluster.runUntil([&] { return cluster.allScriptsEnded(); }, LongEnough);
        EXPECT_EQ(cluster.results().at("entry/steady-0").finished, on);
    }
}

TEST(Safeguards, ReleasingFreesMemoryOfEndedPrograms)
{
    Safeguards without;
    without.calls.release = false;
    for (const bool on : {true, false}) {
        SCOPED_TRACE(on ? "with release" : "without release");
        SimulatedCluster cluster(7, 3, on ? Safeguards{} : without);
        startAll(cluster);
        runSteady(cluster, 4, 4, 0);
        cluster.runUntil([&] { return cluster.allScriptsEnded(); }, LongEnough);
        const auto held = [&] {
            std::size_t count = 0;
            for (const auto &[replica, programs] : cluster.programsInMemory()) {
                count += programs.size();
            }
            return count;
        };
        cluster.run(Milliseconds(500));
        EXPECT_EQ(held() > 0, !on);
    }
}

TEST(Safeguards, OrderKeepsCallsInTurn)
{
    Safeguards without;
    without.calls.order = false;
    for (const bool on : {true, false}) {
        SCOPED_TRACE(on ? "with order" : "without order");
        SimulatedCluster cluster(8, 3, on ? Safeguards{} : without);
        startAll(cluster);
        const std::size_t owner = cluster.ownerOf("entry", "program");
        const auto submit = [&](std::uint32_t number) {
            CallRequest request;
            request.handle = CallHandle(1'000'000 + number);
            request.program = {EntryName("entry"), ProgramId("program")};
            request.number = CallNumber(number);
            request.pool = PoolName("model");
            request.content = R"({"role":"user","content":"x"})";
            request.bearerKey = "key";
            request.bodyHash = number;
            cluster.node(owner)->submit(request);
        };
        submit(2);
        cluster.run(Milliseconds(800));
        // Call 1 has not been made, so call 2 must not have begun.
        const int begun = cluster.callsStartedAt("model-1", SteadyTime())
            + cluster.callsStartedAt("model-2", SteadyTime());
        EXPECT_EQ(begun > 0, !on);
    }
}

TEST(Safeguards, TheStaleLimitStopsWorkUnderAnOldCatalogue)
{
    Safeguards without;
    without.refuseWhenStale = false;
    for (const bool on : {true, false}) {
        SCOPED_TRACE(on ? "with the limit" : "without the limit");
        SimulatedCluster cluster(9, 3, on ? Safeguards{} : without);
        // A lease longer than the limit, so that only the limit can stop the VM.
        for (std::size_t vm = 0; vm < 3; ++vm) {
            cluster.settingsOf(vm).leaseTerm = Milliseconds(30'000);
        }
        startAll(cluster);
        // A program in a long tool pause: loaded, with a grant left to spend.
        Script script;
        script.program = "steady-0";
        script.calls.resize(7);
        script.calls.back().pause = Seconds(9);
        script.callTimeout = Milliseconds(1'000);
        cluster.runScript(script);
        cluster.run(Seconds(3));
        const std::size_t cut = cluster.ownerOf("entry", "steady-0");
        cluster.setStorePartitioned(cut, true);
        cluster.setPeersPartitioned(cut, true);
        CatalogueEntry disabled = cluster.makeEntry("entry");
        disabled.enabled = false;
        cluster.putEntry(disabled, (cut + 1) % 3);
        cluster.run(Seconds(6));
        const SteadyTime since = cluster.clock().now();
        cluster.run(Seconds(6));
        const int calls =
            cluster.callsStartedAt("model-1", since) + cluster.callsStartedAt("model-2", since);
        EXPECT_EQ(calls > 0, !on);
    }
}

} // namespace boragepath
