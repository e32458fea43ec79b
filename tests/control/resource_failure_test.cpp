// What failures must not do to the memory of replicas, to budgets and to access rights.

#include "tests/support/failure_fixture.h"

#include <absl/strings/str_cat.h>

namespace boragepath {

// --- Memory of replicas ----------------------------------------------------

TEST_F(FailureTest, MemoryIsReleasedAfterTheOwnerDied)
{
    m_cluster.runScript(makeScript({modelCall(), modelCall()}));
    ASSERT_TRUE(m_cluster.runUntil([&] { return m_cluster.allScriptsEnded(); }, ScriptTimeout));
    m_cluster.kill(owner());
    m_cluster.run(Seconds(60));
    for (const auto &[replica, programs] : m_cluster.programsInMemory()) {
        EXPECT_TRUE(programs.empty()) << replica;
    }
}

TEST_F(FailureTest, AbandonedProgramIsEndedAndReleased)
{
    Script script = makeScript({modelCall()});
    script.marksLastCall = false;
    m_cluster.runScript(script);
    m_cluster.run(Seconds(30));
    m_cluster.kill(owner());
    m_cluster.run(Seconds(180));
    for (const auto &[replica, programs] : m_cluster.programsInMemory()) {
        EXPECT_TRUE(programs.empty()) << replica;
    }
}

TEST_F(FailureTest, LoopingProgramIsStoppedByItsCallLimit)
{
    CatalogueEntry entry = m_cluster.makeEntry("entry");
    entry.callsPerProgram = 5;
    m_cluster.putEntry(entry);
    m_cluster.run(Seconds(2));
    Script script;
    for (int call = 0; call < 9; ++call) {
        script.calls.push_back(modelCall());
    }
    m_cluster.runScript(script);
    ASSERT_TRUE(runAllScripts());
    EXPECT_FALSE(result().finished);
    EXPECT_EQ(result().verdicts.size(), 6U);
    EXPECT_EQ(result().reasons.back(), Reason::CallsLimit);
}

// --- Budgets ---------------------------------------------------------------

namespace {

/** Runs many programs on a small budget while VMs are killed; returns the amount spent. */
Amount spendUnderFailures(SimulatedCluster &cluster, const CatalogueEntry &entry)
{
    for (std::size_t vm = 0; vm < 3; ++vm) {
        cluster.start(vm);
    }
    cluster.run(StartupTime);
    cluster.putEntry(entry);
    cluster.run(Seconds(2));
    for (int number = 0; number < 20; ++number) {
        Script script;
        script.program = absl::StrCat("spender-", number);
        for (int call = 0; call < 6; ++call) {
            ScriptCall planned;
            planned.pause = Milliseconds(100 * (number % 7));
            script.calls.push_back(planned);
        }
        cluster.runScript(script);
    }
    cluster.run(Milliseconds(700));
    cluster.kill(0);
    cluster.run(Seconds(4));
    cluster.start(0);
    cluster.kill(1);
    cluster.runUntil([&] { return cluster.allScriptsEnded(); }, ScriptTimeout);
    return cluster.spentFor(entry.name.value());
}

} // namespace

TEST(BudgetTest, IsNotExceededWhenVmsDie)
{
    SimulatedCluster cluster(5);
    CatalogueEntry entry = cluster.makeEntry("entry");
    entry.budget = {1'500, 1'000'000};
    const Amount spent = spendUnderFailures(cluster, entry);
    EXPECT_LE(spent.tokens, entry.budget.tokens);
    EXPECT_GT(spent.tokens, 0);
    EXPECT_TRUE(cluster.violations().empty()) << cluster.violations().front();
}

TEST(BudgetTest, IsExceededWithoutReservations)
{
    Safeguards safeguards;
    safeguards.calls.reserve = false;
    SimulatedCluster cluster(5, 3, safeguards);
    CatalogueEntry entry = cluster.makeEntry("entry");
    entry.budget = {1'500, 1'000'000};
    EXPECT_GT(spendUnderFailures(cluster, entry).tokens, entry.budget.tokens);
}

TEST_F(FailureTest, LoweredBudgetRecallsUnspentGrants)
{
    m_cluster.runScript(makeScript({modelCall(), modelCall(Seconds(1)), modelCall(Seconds(1))}));
    m_cluster.run(Seconds(4));
    CatalogueEntry entry = m_cluster.makeEntry("entry");
    entry.budget = {1, 1};
    m_cluster.putEntry(entry);
    m_cluster.run(Seconds(5));
    const Ledger &ledger = m_cluster.node(owner())->ledger();
    const GrantView grant = ledger.viewOf(entry.name, ledger.periodOf(entry));
    EXPECT_EQ(grant.amount, grant.spent + grant.reserved);
    Script late = makeScript({modelCall()});
    late.program = "late";
    m_cluster.runScript(late);
    ASSERT_TRUE(runAllScripts());
    EXPECT_EQ(m_cluster.results().at("entry/late").reasons.front(), Reason::BudgetExhausted);
}

// --- Access ----------------------------------------------------------------

TEST_F(FailureTest, WrongKeyGivesNoAccessToAProgram)
{
    m_cluster.runScript(makeScript({modelCall(), modelCall()}));
    ASSERT_TRUE(runAllScripts());
    CatalogueEntry stranger = m_cluster.makeEntry("stranger");
    stranger.keyHash = "0";
    m_cluster.putEntry(stranger);
    m_cluster.run(Seconds(3));
    Script script = makeScript({modelCall()});
    script.entry = "stranger";
    m_cluster.runScript(script);
    ASSERT_TRUE(runAllScripts());
    EXPECT_EQ(m_cluster.results().at("stranger/program").reasons.front(), Reason::Unauthorized);
}

} // namespace boragepath
