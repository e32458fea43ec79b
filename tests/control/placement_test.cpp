// Which replica gets a request; each test replays the load that its rule answers.

#include "control/replica_table.h"
#include "tests/support/manual_clock.h"

#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>

namespace boragepath {

namespace {

const PoolName Service("service");

ReplicaEntry replica(const std::string &id, const std::string &zone = "a", std::int64_t slots = 4)
{
    ReplicaEntry entry;
    entry.id = ReplicaId(id);
    entry.service = Service;
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

    std::string choose(const std::string &affinity = "", const std::set<ReplicaId> &tried = {},
                       const std::string &promptReplica = "")
    {
        PlacementRequest request;
        request.service = Service;
        request.affinityKey = affinity;
        request.zone = ZoneId("a");
        request.tried = tried;
        request.promptReplica = ReplicaId(promptReplica);
        const ReplicaState *chosen = choosePlacement(m_table, request, m_clock.now());
        return chosen == nullptr ? std::string() : chosen->entry.id.value();
    }

    void serve(const std::string &id, Milliseconds latency)
    {
        m_table.begin(ReplicaId(id));
        ReplicaObservation observation;
        observation.latency = latency;
        m_table.end(ReplicaId(id), observation);
    }

    ManualClock m_clock;
    ReplicaTable m_table;
};

} // namespace

TEST_F(PlacementTest, ABurstSpreadsOverReplicasThatReportLate)
{
    std::map<std::string, int> started;
    for (int request = 0; request < 16; ++request) {
        const std::string id = choose();
        m_table.begin(ReplicaId(id));
        started[id] += 1;
    }
    for (const auto &[id, count] : started) {
        EXPECT_EQ(count, 4) << id;
    }
}

TEST_F(PlacementTest, LinesOfTurnsStayWhereTheirPromptLies)
{
    const std::string home = choose("program-1");
    {
        SCOPED_TRACE("any VM that knows the same replicas chooses the same one");
        EXPECT_EQ(choose("program-1"), home);
    }
    {
        SCOPED_TRACE("a home with a long queue loses the turn, not the program");
        for (int request = 0; request < 6; ++request) {
            m_table.begin(ReplicaId(home));
        }
        EXPECT_NE(choose("program-1", {}, home), home);
        m_table.end(ReplicaId(home), {});
        EXPECT_EQ(choose("program-1", {}, home), home);
    }
}

TEST_F(PlacementTest, NewProgramsEvenOutWhatHashingMakesUneven)
{
    // A burst of programs, each with one request under way all the time.
    ReplicaTable table(m_clock);
    constexpr int Replicas = 12;
    constexpr int Programs = 96;
    for (int index = 0; index < Replicas; ++index) {
        table.put(replica(absl::StrCat("engine-", index), "a", 24));
    }
    std::map<std::string, int> started;
    for (int program = 0; program < Programs; ++program) {
        PlacementRequest request;
        request.service = Service;
        request.zone = ZoneId("a");
        request.affinityKey = absl::StrCat("program-", program);
        const ReplicaState *chosen = choosePlacement(table, request, m_clock.now());
        ASSERT_NE(chosen, nullptr);
        table.begin(chosen->entry.id);
        started[chosen->entry.id.value()] += 1;
    }
    int most = 0;
    for (const auto &[id, count] : started) {
        most = std::max(most, count);
    }
    // By hash alone the fullest gets about 14 of the 96.
    EXPECT_LE(most, Programs / Replicas + 3);
}

TEST_F(PlacementTest, ALineOfTurnsStaysWhereItIsKnownToLie)
{
    PlacementRequest request;
    request.service = Service;
    request.affinityKey = "program-1";
    for (const char *id : {"r1", "r2", "r3", "r4"}) {
        request.promptReplica = ReplicaId(id);
        EXPECT_EQ(choosePlacement(m_table, request, m_clock.now())->entry.id,
                  request.promptReplica);
    }
    {
        SCOPED_TRACE("a hint to a replica that is gone is no loss");
        request.promptReplica = ReplicaId("gone");
        EXPECT_NE(choosePlacement(m_table, request, m_clock.now()), nullptr);
    }
}

TEST_F(PlacementTest, SlowReplicasLoseTheirShareByMeasuredTime)
{
    const std::string home = choose("program-1");
    for (const char *id : {"r1", "r2", "r3", "r4"}) {
        serve(id, id == home ? Milliseconds(100) : Milliseconds(20));
    }
    EXPECT_NE(choose("program-1"), home);
    EXPECT_NE(choose(), home);
    {
        SCOPED_TRACE("an old measurement says nothing any more");
        m_clock.advance(Seconds(10));
        EXPECT_EQ(choose("program-1"), home);
    }
}

TEST_F(PlacementTest, DrainingAndTriedReplicasGetNothing)
{
    ReplicaEntry leaving = replica("r1");
    leaving.draining = true;
    m_table.put(leaving);
    EXPECT_EQ(choose("", {ReplicaId("r2"), ReplicaId("r3"), ReplicaId("r4")}), "");
}

TEST_F(PlacementTest, FailuresKeepAReplicaOutForAWhile)
{
    const std::string home = choose("program-1");
    m_table.begin(ReplicaId(home));
    ReplicaObservation failed;
    failed.outcome = ReplicaObservation::Outcome::Failed;
    m_table.end(ReplicaId(home), failed);
    EXPECT_NE(choose("program-1"), home);
    {
        SCOPED_TRACE("where all have failed, one that may work beats a refusal");
        EXPECT_NE(choose("", {ReplicaId("r1"), ReplicaId("r2"), ReplicaId("r3")}), "");
    }
    m_clock.advance(Seconds(5));
    EXPECT_EQ(choose("program-1"), home);
}

TEST_F(PlacementTest, NoMoreConnectionsThanThisVmsShare)
{
    PlacementRequest request;
    request.service = Service;
    request.maxOwnRequests = 1;
    for (const char *id : {"r1", "r2", "r3", "r4"}) {
        m_table.begin(ReplicaId(id));
    }
    EXPECT_EQ(choosePlacement(m_table, request, m_clock.now()), nullptr);
}

TEST_F(PlacementTest, ReplicasThatVanishedWithTheStoreAreKeptForTwoSeconds)
{
    const SteadyTime registryCompleteAt = m_clock.now() + Seconds(2);
    {
        SCOPED_TRACE("back in time: nothing has happened");
        m_table.remove(ReplicaId("r1"), registryCompleteAt);
        m_clock.advance(Seconds(1));
        m_table.put(replica("r1"));
        m_clock.advance(Seconds(2));
        EXPECT_TRUE(m_table.expireMissing().empty());
    }
    {
        SCOPED_TRACE("still missing when the registry has settled: gone");
        m_table.remove(ReplicaId("r1"), m_clock.now() + Milliseconds(500));
        EXPECT_NE(m_table.find(ReplicaId("r1")), nullptr);
        m_clock.advance(Milliseconds(500));
        EXPECT_EQ(m_table.expireMissing(), std::vector<ReplicaId>{ReplicaId("r1")});
    }
    {
        SCOPED_TRACE("removed while the store is well: gone at once");
        m_table.remove(ReplicaId("r2"), registryCompleteAt);
        EXPECT_EQ(m_table.find(ReplicaId("r2")), nullptr);
    }
}

TEST_F(PlacementTest, ARestartUnderTheSameIdStartsWithNothingKnown)
{
    serve("r1", Milliseconds(500));
    ReplicaEntry again = replica("r1");
    again.startedAtMillis = 7;
    m_table.put(again);
    EXPECT_EQ(m_table.find(ReplicaId("r1"))->latency, Duration::zero());
}

} // namespace boragepath
