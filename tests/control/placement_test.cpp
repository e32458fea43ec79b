// Choice of the replica for a request.

#include "control/replica_table.h"
#include "tests/support/manual_clock.h"

#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>

namespace boragepath {

namespace {

const PoolName TestService("service");

ReplicaEntry replica(const std::string &id, const std::string &zone = "a", std::int64_t slots = 4)
{
    ReplicaEntry entry;
    entry.id = ReplicaId(id);
    entry.service = TestService;
    entry.endpoint = {"10.0.0.1", 80};
    entry.zone = ZoneId(zone);
    entry.slots = slots;
    return entry;
}

class PlacementTest : public testing::Test
{
protected:
    PlacementTest()
        : m_table(m_clock)
    {
        for (const char *id : {"r1", "r2", "r3", "r4"}) {
            m_table.put(replica(id));
        }
    }

    std::string choose(const std::string &affinity = "",
                       const std::set<ReplicaId> &triedReplicas = {},
                       const std::string &promptReplica = "")
    {
        PlacementRequest request;
        request.service = TestService;
        request.affinityKey = affinity;
        request.zone = ZoneId("a");
        request.excludedReplicas = triedReplicas;
        request.warmReplica = ReplicaId(promptReplica);
        const ReplicaState *chosen = chooseReplica(m_table, request, m_clock.now());
        return chosen == nullptr ? std::string() : chosen->entry.id.value();
    }

    void serveRequest(const std::string &id, Milliseconds latency)
    {
        m_table.beginRequest(ReplicaId(id));
        ReplicaObservation observation;
        observation.latency = latency;
        m_table.endRequest(ReplicaId(id), observation);
    }

    ManualClock m_clock;
    ReplicaTable m_table;
};

} // namespace

TEST_F(PlacementTest, ABurstIsSpreadEvenlyBeforeReplicasReportTheirLoad)
{
    std::map<std::string, int> requestsStarted;
    for (int request = 0; request < 16; ++request) {
        const std::string id = choose();
        m_table.beginRequest(ReplicaId(id));
        requestsStarted[id] += 1;
    }
    for (const auto &[id, count] : requestsStarted) {
        EXPECT_EQ(count, 4) << id;
    }
}

TEST_F(PlacementTest, TurnsOfAProgramGoToTheSameReplicaUnlessItIsOverloaded)
{
    const std::string preferred = choose("program-1");
    {
        SCOPED_TRACE("the choice depends on the key, so VMs that know the same replicas agree");
        EXPECT_EQ(choose("program-1"), preferred);
    }
    {
        SCOPED_TRACE(
            "an overloaded replica is passed over for a turn, but stays the program's replica");
        for (int request = 0; request < 6; ++request) {
            m_table.beginRequest(ReplicaId(preferred));
        }
        EXPECT_NE(choose("program-1", {}, preferred), preferred);
        m_table.endRequest(ReplicaId(preferred), {});
        EXPECT_EQ(choose("program-1", {}, preferred), preferred);
    }
}

TEST_F(PlacementTest, NewProgramsAreSpreadMoreEvenlyThanByHashingAlone)
{
    // A burst of programs, each of which has one request in progress all the time.
    ReplicaTable table(m_clock);
    constexpr int Replicas = 12;
    constexpr int Programs = 96;
    for (int index = 0; index < Replicas; ++index) {
        table.put(replica(absl::StrCat("engine-", index), "a", 24));
    }
    std::map<std::string, int> requestsStarted;
    for (int program = 0; program < Programs; ++program) {
        PlacementRequest request;
        request.service = TestService;
        request.zone = ZoneId("a");
        request.affinityKey = absl::StrCat("program-", program);
        const ReplicaState *chosen = chooseReplica(table, request, m_clock.now());
        ASSERT_NE(chosen, nullptr);
        table.beginRequest(chosen->entry.id);
        requestsStarted[chosen->entry.id.value()] += 1;
    }
    int maxPrograms = 0;
    for (const auto &[id, count] : requestsStarted) {
        maxPrograms = std::max(maxPrograms, count);
    }
    // With hashing alone, the busiest replica gets about 14 of the 96 programs.
    EXPECT_LE(maxPrograms, Programs / Replicas + 3);
}

TEST_F(PlacementTest, TurnsGoToTheReplicaThatHasThePromptCached)
{
    PlacementRequest request;
    request.service = TestService;
    request.affinityKey = "program-1";
    for (const char *id : {"r1", "r2", "r3", "r4"}) {
        request.warmReplica = ReplicaId(id);
        EXPECT_EQ(chooseReplica(m_table, request, m_clock.now())->entry.id, request.warmReplica);
    }
    {
        SCOPED_TRACE("another replica is chosen if the hint names one that is gone");
        request.warmReplica = ReplicaId("gone");
        EXPECT_NE(chooseReplica(m_table, request, m_clock.now()), nullptr);
    }
}

// Guards against calls that use up their tries on replicas that have ended, of which another VM or
// another call has found that out already.
TEST_F(PlacementTest, ReplicaThatHasEndedGetsNoRequestsUntilItsNextStart)
{
    const ReplicaFingerprint first = m_table.find(ReplicaId("r1"))->fingerprint;
    for (const char *id : {"r1", "r2", "r3"}) {
        EXPECT_TRUE(m_table.markEnded(m_table.find(ReplicaId(id))->fingerprint));
    }
    EXPECT_FALSE(m_table.markEnded(first));
    {
        SCOPED_TRACE("the others serve, and if there is none, nobody is asked in vain");
        EXPECT_EQ(choose(), "r4");
        EXPECT_EQ(choose("", {ReplicaId("r4")}), "");
    }
    {
        SCOPED_TRACE("its registration from before says nothing new");
        m_table.put(replica("r1"));
        EXPECT_EQ(choose("", {ReplicaId("r4")}), "");
    }
    {
        SCOPED_TRACE("it has started again");
        ReplicaEntry restarted = replica("r1");
        restarted.startedAtMillis = 5;
        m_table.put(restarted);
        EXPECT_EQ(choose("", {ReplicaId("r4")}), "r1");
    }
    {
        SCOPED_TRACE("in case that the finding was wrong, it is tried again later");
        m_clock.advance(Seconds(10));
        EXPECT_EQ(choose("", {ReplicaId("r1"), ReplicaId("r4")}).empty(), false);
    }
}

TEST_F(PlacementTest, ReplicasMeasuredAsSlowAreAvoided)
{
    const std::string preferred = choose("program-1");
    for (const char *id : {"r1", "r2", "r3", "r4"}) {
        serveRequest(id, id == preferred ? Milliseconds(100) : Milliseconds(20));
    }
    EXPECT_NE(choose("program-1"), preferred);
    EXPECT_NE(choose(), preferred);
    {
        SCOPED_TRACE("an old measurement is ignored");
        m_clock.advance(Seconds(10));
        EXPECT_EQ(choose("program-1"), preferred);
    }
}

TEST_F(PlacementTest, DrainingAndTriedReplicasAreNotChosen)
{
    ReplicaEntry drainingReplica = replica("r1");
    drainingReplica.draining = true;
    m_table.put(drainingReplica);
    EXPECT_EQ(choose("", {ReplicaId("r2"), ReplicaId("r3"), ReplicaId("r4")}), "");
}

TEST_F(PlacementTest, AFailureExcludesAReplicaForAWhile)
{
    const std::string preferred = choose("program-1");
    m_table.beginRequest(ReplicaId(preferred));
    ReplicaObservation failed;
    failed.outcome = ReplicaObservation::Outcome::Failed;
    m_table.endRequest(ReplicaId(preferred), failed);
    EXPECT_NE(choose("program-1"), preferred);
    {
        SCOPED_TRACE("a replica that failed is still chosen if there is no other");
        EXPECT_NE(choose("", {ReplicaId("r1"), ReplicaId("r2"), ReplicaId("r3")}), "");
    }
    m_clock.advance(Seconds(5));
    EXPECT_EQ(choose("program-1"), preferred);
}

TEST_F(PlacementTest, AReplicaAtThisVmsConnectionLimitIsNotChosen)
{
    PlacementRequest request;
    request.service = TestService;
    request.maxOwnRequests = 1;
    for (const char *id : {"r1", "r2", "r3", "r4"}) {
        m_table.beginRequest(ReplicaId(id));
    }
    EXPECT_EQ(chooseReplica(m_table, request, m_clock.now()), nullptr);
}

TEST_F(PlacementTest, ReplicasMissingAfterAStoreOutageAreKeptUntilTheRegistryIsComplete)
{
    const SteadyTime registryCompleteAt = m_clock.now() + Seconds(2);
    {
        SCOPED_TRACE("a replica that registers again in time is kept");
        m_table.remove(ReplicaId("r1"), registryCompleteAt);
        m_clock.advance(Seconds(1));
        m_table.put(replica("r1"));
        m_clock.advance(Seconds(2));
        EXPECT_TRUE(m_table.expireMissing().empty());
    }
    {
        SCOPED_TRACE("a replica that is still missing once the registry is complete is removed");
        m_table.remove(ReplicaId("r1"), m_clock.now() + Milliseconds(500));
        EXPECT_NE(m_table.find(ReplicaId("r1")), nullptr);
        m_clock.advance(Milliseconds(500));
        EXPECT_EQ(m_table.expireMissing(), std::vector<ReplicaId>{ReplicaId("r1")});
    }
    {
        SCOPED_TRACE("a replica that is removed while the store works is removed at once");
        m_table.remove(ReplicaId("r2"), registryCompleteAt);
        EXPECT_EQ(m_table.find(ReplicaId("r2")), nullptr);
    }
}

TEST_F(PlacementTest, ARestartUnderTheSameIdDiscardsMeasurements)
{
    serveRequest("r1", Milliseconds(500));
    ReplicaEntry restarted = replica("r1");
    restarted.startedAtMillis = 7;
    m_table.put(restarted);
    EXPECT_EQ(m_table.find(ReplicaId("r1"))->latency, Duration::zero());
}

} // namespace boragepath
