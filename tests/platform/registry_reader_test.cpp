// How one VM follows the registry through changes, store outages and compacted history.

#include "platform/registry_reader.h"
#include "tests/support/memory_row_store.h"

#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

namespace boragepath::platform {

namespace {

RowName replicaRow(const std::string &id)
{
    return {"servers", "", id};
}

std::string registration(const std::string &state, int sequence)
{
    return absl::StrCat(R"({"service":"s","addr":"10.0.0.9:80","zone":"z","slots":4,"state":")",
                        state, R"(","seq":)", sequence, "}");
}

class RegistryReaderTest : public testing::Test
{
protected:
    RegistryReaderTest()
        : m_timers(m_clock)
        , m_store(m_timers, 1)
        , m_replicas(m_clock)
        , m_reader(
              m_clock, m_timers, m_store, m_replicas,
              [this](std::shared_ptr<const RouteTable> table) { m_version = table->version; }, 1)
    {
        m_store.put({"op", "", "config"}, R"({"version":3})");
        m_store.put(replicaRow("a"), registration("ready", 1));
        m_store.put(replicaRow("b"), registration("ready", 1));
        m_reader.start();
        m_timers.run(Seconds(3));
    }

    bool isUsable(const std::string &id) const
    {
        const ReplicaState *replica = m_replicas.find(ReplicaId(id));
        return replica != nullptr && !replica->entry.draining;
    }

    ManualClock m_clock;
    ManualTimers m_timers;
    MemoryRowStore m_store;
    ReplicaTable m_replicas;
    RegistryReader m_reader;
    ConfigurationVersion m_version;
};

} // namespace

TEST_F(RegistryReaderTest, ChangesTakeEffectWithinTwoSeconds)
{
    EXPECT_EQ(m_version, ConfigurationVersion(3));
    m_store.put({"op", "", "config"}, R"({"version":7})");
    m_store.put(replicaRow("a"), registration("draining", 2));
    m_store.remove(replicaRow("b"));
    m_timers.run(Milliseconds(1'900));
    EXPECT_FALSE(isUsable("a"));
    EXPECT_FALSE(isUsable("b"));
    m_timers.run(Milliseconds(100));
    EXPECT_EQ(m_version, ConfigurationVersion(7));
}

/** One reading of the feed may hold several changes of a replica; the newest one counts. */
TEST_F(RegistryReaderTest, ReplicaThatComesAndGoesBetweenTwoReadingsIsNotUsed)
{
    m_store.put(replicaRow("c"), registration("ready", 1));
    m_timers.run(Milliseconds(10));
    m_store.remove(replicaRow("c"));
    m_store.put(replicaRow("d"), registration("ready", 1));
    m_timers.run(Milliseconds(10));
    m_store.put(replicaRow("d"), "unreadable");
    m_store.remove(replicaRow("a"));
    m_timers.run(Milliseconds(10));
    m_store.put(replicaRow("a"), registration("ready", 9));
    m_timers.run(Milliseconds(1'900));
    EXPECT_FALSE(isUsable("c"));
    EXPECT_FALSE(isUsable("d"));
    EXPECT_TRUE(isUsable("a"));
}

TEST_F(RegistryReaderTest, ReadsAllRowsAgainAfterHistoryWasCompacted)
{
    m_store.put({"op", "", "config"}, R"({"version":8})");
    m_store.remove(replicaRow("b"));
    m_store.compact();
    m_timers.run(Milliseconds(2'900));
    EXPECT_EQ(m_version, ConfigurationVersion(8));
    EXPECT_FALSE(isUsable("b"));
}

TEST_F(RegistryReaderTest, KeepsReplicasWhoseRegistrationExpiredInAnOutage)
{
    m_store.faults().unavailable = true;
    m_timers.run(Seconds(5));
    m_store.remove(replicaRow("a"));
    m_store.faults().unavailable = false;
    m_timers.run(Seconds(2));
    EXPECT_TRUE(isUsable("a"));
    m_store.put(replicaRow("a"), registration("ready", 3));
    m_timers.run(Seconds(3));
    EXPECT_TRUE(isUsable("a"));
}

TEST_F(RegistryReaderTest, VmStartedInAnOutageUsesAnotherVmsCopy)
{
    m_store.faults().unavailable = true;
    ReplicaTable replicas(m_clock);
    ConfigurationVersion version;
    RegistryReader secondReader(
        m_clock, m_timers, m_store, replicas,
        [&](std::shared_ptr<const RouteTable> table) { version = table->version; }, 2);
    secondReader.start();
    m_timers.run(Seconds(2));
    EXPECT_EQ(version, ConfigurationVersion());
    secondReader.loadCopy(m_reader.copy());
    EXPECT_EQ(version, ConfigurationVersion(3));
    EXPECT_EQ(replicas.all().size(), 2U);
    {
        SCOPED_TRACE("rows read from the store replace the copy, not the reverse");
        m_store.put({"op", "", "config"}, R"({"version":9})");
        m_store.faults().unavailable = false;
        m_timers.run(Seconds(4));
        EXPECT_EQ(version, ConfigurationVersion(9));
        secondReader.loadCopy({R"({"version":11})", {}});
        EXPECT_EQ(version, ConfigurationVersion(9));
    }
}

TEST_F(RegistryReaderTest, ReplicaRemovedRightAfterAnOutageIsDroppedWithinThreeSeconds)
{
    m_store.faults().unavailable = true;
    m_timers.run(Seconds(5));
    m_store.faults().unavailable = false;
    m_timers.run(Milliseconds(300));
    m_store.remove(replicaRow("a"));
    // A VM counts as connected again three seconds after the end of an outage.
    m_timers.run(Milliseconds(2'700));
    EXPECT_FALSE(isUsable("a"));
}

} // namespace boragepath::platform
