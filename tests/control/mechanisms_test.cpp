// Runs each test with one safeguard switched on and then off. Without the safeguard, the failure
// that it prevents must occur; this shows that the corresponding check is able to fail.

#include "tests/support/simulated_cluster.h"

#include <gtest/gtest.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace boragepath {

namespace {

constexpr Seconds StartupTime{8};
constexpr Seconds TimeLimit{120};

bool hasViolation(const SimulatedCluster &cluster, const std::string &category)
{
    return std::any_of(cluster.violations().begin(), cluster.violations().end(),
                       [&](const std::string &line) { return absl::StartsWith(line, category); });
}

void startCluster(SimulatedCluster &cluster)
{
    for (std::size_t vm = 0; vm < 3; ++vm) {
        cluster.start(vm);
    }
    cluster.run(StartupTime);
    cluster.putEntry(cluster.makeEntry("entry"));
    cluster.run(Seconds(2));
}

void runPrograms(SimulatedCluster &cluster, int programs, int calls, int nonIdempotentEvery)
{
    for (int number = 0; number < programs; ++number) {
        Script script;
        script.program = absl::StrCat("steady-", number);
        for (int call = 0; call < calls; ++call) {
            ScriptCall scriptCall;
            scriptCall.nonIdempotent = nonIdempotentEvery > 0 && call % nonIdempotentEvery == 0;
            scriptCall.pause = Milliseconds(100);
            script.calls.push_back(scriptCall);
        }
        cluster.runScript(script);
    }
}

} // namespace

TEST(Safeguards, IntentRecordsPreventDuplicateServiceCalls)
{
    Safeguards switchedOff;
    switchedOff.calls.intents = false;
    for (const bool active : {true, false}) {
        SCOPED_TRACE(active ? "with intents" : "without intents");
        SimulatedCluster cluster(3, 3, active ? Safeguards{} : switchedOff);
        startCluster(cluster);
        runPrograms(cluster, 1, 2, 2);
        cluster.runUntil([&] { return !cluster.serviceRuns().empty(); }, TimeLimit);
        cluster.kill(cluster.ownerOf("entry", "steady-0"));
        cluster.runUntil([&] { return cluster.allScriptsEnded(); }, TimeLimit);
        EXPECT_EQ(hasViolation(cluster, "at most once"), !active);
    }
}

TEST(Safeguards, FenceConditionBlocksWritesOfAResumedProcess)
{
    Safeguards switchedOff;
    switchedOff.commits.fenceCondition = false;
    for (const bool active : {true, false}) {
        SCOPED_TRACE(active ? "with the condition" : "without the condition");
        SimulatedCluster cluster(4, 3, active ? Safeguards{} : switchedOff);
        startCluster(cluster);
        runPrograms(cluster, 1, 6, 0);
        const std::size_t pausedVm = cluster.ownerOf("entry", "steady-0");
        cluster.run(Milliseconds(500));
        cluster.pause(pausedVm);
        cluster.run(Seconds(20));
        cluster.resume(pausedVm);
        cluster.run(Seconds(2));
        // A fenced VM must rejoin as a new incarnation with a new fence number.
        const std::string row =
            *cluster.store().valueOf(keys::vm(VmId(absl::StrCat("vm-", pausedVm + 1))));
        EXPECT_EQ(decodeVm(row)->fence != FenceNumber(pausedVm + 1)
                      && cluster.node(pausedVm)->fence().value() > 3,
                  active);
    }
}

TEST(Safeguards, AttemptIdResolvesCommitsWithLostAnswers)
{
    Safeguards switchedOff;
    switchedOff.commits.attemptId = false;
    for (const bool active : {true, false}) {
        SCOPED_TRACE(active ? "with attempt ids" : "without attempt ids");
        SimulatedCluster cluster(5, 3, active ? Safeguards{} : switchedOff);
        startCluster(cluster);
        const FenceNumber before = cluster.node(0)->fence();
        cluster.dropStoreAnswers(Seconds(10), 0.3);
        runPrograms(cluster, 4, 10, 3);
        cluster.run(Seconds(30));
        EXPECT_EQ(cluster.node(0)->fence() != before, !active);
    }
}

TEST(Safeguards, RecordingBeforeAnsweringPreservesHistory)
{
    Safeguards switchedOff;
    switchedOff.calls.recordBeforeAnswer = false;
    for (const bool active : {true, false}) {
        SCOPED_TRACE(active ? "recorded first" : "answered first");
        SimulatedCluster cluster(6, 3, active ? Safeguards{} : switchedOff);
        startCluster(cluster);
        bool outageStarted = false;
        cluster.onDispatch([&](std::size_t, const BackendCall &) {
            if (!std::exchange(outageStarted, true)) {
                cluster.startStoreOutage(Seconds(2));
            }
        });
        runPrograms(cluster, 1, 4, 0);
        const auto answered = [&] {
            return !cluster.results().at("entry/steady-0").verdicts.empty();
        };
        ASSERT_TRUE(cluster.runUntil(answered, TimeLimit));
        cluster.kill(cluster.ownerOf("entry", "steady-0"));
        cluster.runUntil([&] { return cluster.allScriptsEnded(); }, TimeLimit);
        EXPECT_EQ(cluster.results().at("entry/steady-0").finished, active);
    }
}

TEST(Safeguards, ReleaseFreesReplicaMemoryOfEndedPrograms)
{
    Safeguards switchedOff;
    switchedOff.calls.release = false;
    for (const bool active : {true, false}) {
        SCOPED_TRACE(active ? "with release" : "without release");
        SimulatedCluster cluster(7, 3, active ? Safeguards{} : switchedOff);
        startCluster(cluster);
        runPrograms(cluster, 4, 4, 0);
        cluster.runUntil([&] { return cluster.allScriptsEnded(); }, TimeLimit);
        const auto held = [&] {
            std::size_t count = 0;
            for (const auto &[replica, programs] : cluster.programsInMemory()) {
                count += programs.size();
            }
            return count;
        };
        cluster.run(Milliseconds(500));
        EXPECT_EQ(held() > 0, !active);
    }
}

TEST(Safeguards, OrderCheckHoldsBackOutOfOrderCalls)
{
    Safeguards switchedOff;
    switchedOff.calls.order = false;
    for (const bool active : {true, false}) {
        SCOPED_TRACE(active ? "with order" : "without order");
        SimulatedCluster cluster(8, 3, active ? Safeguards{} : switchedOff);
        startCluster(cluster);
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
        // Call 1 was never submitted, so call 2 must not be dispatched.
        const int startedCalls = cluster.callsStartedAt("model-1", SteadyTime())
            + cluster.callsStartedAt("model-2", SteadyTime());
        EXPECT_EQ(startedCalls > 0, !active);
    }
}

TEST(Safeguards, StaleLimitStopsCallsUnderAnOldCatalogue)
{
    Safeguards switchedOff;
    switchedOff.refuseWhenStale = false;
    for (const bool active : {true, false}) {
        SCOPED_TRACE(active ? "with the limit" : "without the limit");
        SimulatedCluster cluster(9, 3, active ? Safeguards{} : switchedOff);
        // The lease outlasts the stale limit, so that only the limit can stop the VM.
        for (std::size_t vm = 0; vm < 3; ++vm) {
            cluster.settingsOf(vm).leaseTerm = Milliseconds(30'000);
        }
        startCluster(cluster);
        // The program pauses before its last call, so it stays loaded with budget left to spend.
        Script script;
        script.program = "steady-0";
        script.calls.resize(7);
        script.calls.back().pause = Seconds(9);
        script.callTimeout = Milliseconds(1'000);
        cluster.runScript(script);
        cluster.run(Seconds(3));
        const std::size_t isolatedVm = cluster.ownerOf("entry", "steady-0");
        cluster.setStorePartitioned(isolatedVm, true);
        cluster.setPeersPartitioned(isolatedVm, true);
        CatalogueEntry disabled = cluster.makeEntry("entry");
        disabled.enabled = false;
        cluster.putEntry(disabled, (isolatedVm + 1) % 3);
        cluster.run(Seconds(6));
        const SteadyTime since = cluster.clock().now();
        cluster.run(Seconds(6));
        const int calls =
            cluster.callsStartedAt("model-1", since) + cluster.callsStartedAt("model-2", since);
        EXPECT_EQ(calls > 0, !active);
    }
}

} // namespace boragepath
