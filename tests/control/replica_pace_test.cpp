// What is kept of the pace that replicas report.

#include "control/replica_table.h"
#include "tests/support/manual_clock.h"

#include <gtest/gtest.h>

namespace boragepath {

namespace {

ReplicaEntry sharedReplica()
{
    ReplicaEntry entry;
    entry.id = ReplicaId("r1");
    entry.service = PoolName("service");
    entry.endpoint = {"10.0.0.1", 80};
    return entry;
}

} // namespace

// Guards against a replica that is shunned, or preferred, for interference that has ended.
TEST(ReplicaPaceTest, ReportFadesToWhatWasMeasured)
{
    PaceRecord record;
    const SteadyTime now = SteadyTime(Seconds(100));
    EXPECT_EQ(momentarySlowness(record, now), 1);
    recordPace(record, ReplicaPace(250), now);
    EXPECT_DOUBLE_EQ(momentarySlowness(record, now), 2.5);
    recordResponse(record, Milliseconds(20), ReplicaPace(100));
    EXPECT_DOUBLE_EQ(momentarySlowness(record, now), 2.5);
    EXPECT_NEAR(momentarySlowness(record, now + Milliseconds(300)), 1.75, 0.01);
    EXPECT_DOUBLE_EQ(momentarySlowness(record, now + Seconds(3)), 1);
    EXPECT_EQ(lastingSlowness(record, Milliseconds(40)), 0.5);
    EXPECT_EQ(lastingSlowness(record, Duration::zero()), 1);
}

TEST(ReplicaPaceTest, OlderReportsAndThoseOfOtherIncarnationsChangeNothing)
{
    ManualClock clock;
    ReplicaTable table(clock);
    ReplicaEntry entry = sharedReplica();
    table.put(entry);
    const ReplicaIncarnation first = incarnationOf(entry);
    table.notePace(first, ReplicaPace(250), clock.now());
    table.notePace(first, ReplicaPace(100), clock.now() - Milliseconds(1));
    EXPECT_EQ(table.find(entry.id)->pace.latest, ReplicaPace(250));
    entry.startedAtMillis = 7;
    table.put(entry);
    EXPECT_EQ(table.find(entry.id)->pace.latest, std::nullopt);
    table.notePace(first, ReplicaPace(250), clock.now());
    EXPECT_EQ(table.find(entry.id)->pace.latest, std::nullopt);
    EXPECT_EQ(placementInputs(*table.find(entry.id), clock.now()).paceAge, std::nullopt);
}

} // namespace boragepath
