// How one VM follows the registry through changes, store outages and compacted history.

#include "platform/organisations_codec.h"
#include "platform/registry_codec.h"
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
    return absl::StrCat(R"({"service":"s","addr":"10.0.0.9:80","zone":"z","version":"v1",)"
                        R"("slots":4,"coldLeftMs":0,"state":")",
                        state, R"(","seq":)", sequence, "}");
}

class RegistryReaderTest : public testing::Test
{
protected:
    RegistryReaderTest()
        : m_timers(m_clock)
        , m_store(m_timers, 1)
        , m_replicas(m_clock)
        , m_lease(m_clock)
        , m_reader(
              m_clock, m_timers, m_store, m_replicas, m_lease, KeyHasher("secret"),
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
    ConfigurationLease m_lease;
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
    ConfigurationLease lease(m_clock);
    RegistryReader secondReader(
        m_clock, m_timers, m_store, replicas, lease, KeyHasher("secret"),
        [&](std::shared_ptr<const RouteTable> table) { version = table->version; }, 2);
    secondReader.start();
    m_timers.run(Seconds(2));
    EXPECT_EQ(version, ConfigurationVersion());
    secondReader.loadCopy(m_reader.copy(), std::nullopt);
    EXPECT_EQ(version, ConfigurationVersion(3));
    EXPECT_EQ(replicas.all().size(), 2U);
    {
        SCOPED_TRACE("rows read from the store replace the copy, not the reverse");
        m_store.put({"op", "", "config"}, R"({"version":9})");
        m_store.faults().unavailable = false;
        m_timers.run(Seconds(4));
        EXPECT_EQ(version, ConfigurationVersion(9));
        secondReader.loadCopy({R"({"version":11})", {}}, std::nullopt);
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

// --- The lease on the configuration -------------------------------------------

namespace {

constexpr Milliseconds LeaseTerm{4'900};
const std::string WithOrganisations =
    R"({"version":5,"tenants":[{"name":"a","apiKeys":["key-of-a"]}]})";

class ConfigurationLeaseTest : public RegistryReaderTest
{
protected:
    ConfigurationLeaseTest()
    {
        m_lease.setTerm(LeaseTerm);
        m_store.put({"op", "", "config"}, WithOrganisations);
        m_timers.run(Seconds(6));
    }
};

} // namespace

/** An answer shows what was in force when the read was sent: the store holds it open for a while.
 */
TEST_F(ConfigurationLeaseTest, CountsFromTheSendingOfTheLastReadThatWasAnswered)
{
    Duration longest{0};
    for (int step = 0; step < 300; ++step) {
        m_timers.run(Milliseconds(100));
        ASSERT_TRUE(m_lease.isValid());
        longest = std::max(longest, m_lease.age().value());
    }
    EXPECT_GE(longest, LeaseTerm / 5);
}

/** A key that is taken away just after the last read must open nothing after the term. */
TEST_F(ConfigurationLeaseTest, RunsOutOneTermAfterTheLastReadWasSent)
{
    m_store.faults().unavailable = true;
    m_timers.run(LeaseTerm);
    EXPECT_FALSE(m_lease.isValid());
    m_store.faults().unavailable = false;
    m_timers.run(Seconds(1));
    EXPECT_TRUE(m_lease.isValid());
}

/** The steady clock stops while a machine is suspended; the keys may change meanwhile. */
TEST_F(ConfigurationLeaseTest, RunsOutWhileTheMachineIsSuspended)
{
    m_clock.suspend(LeaseTerm);
    EXPECT_FALSE(m_lease.isValid());
}

TEST_F(ConfigurationLeaseTest, OfACopyIsNotTrustedLongerThanByItsSender)
{
    m_store.faults().unavailable = true;
    ReplicaTable replicas(m_clock);
    ConfigurationLease lease(m_clock);
    lease.setTerm(LeaseTerm);
    RegistryReader secondReader(
        m_clock, m_timers, m_store, replicas, lease, KeyHasher("secret"),
        [](const std::shared_ptr<const RouteTable> &) {}, 2);
    secondReader.start();
    m_timers.run(Seconds(1));
    {
        SCOPED_TRACE("of unknown age");
        secondReader.loadCopy(m_reader.copy(), std::nullopt);
        EXPECT_FALSE(lease.isValid());
    }
    {
        SCOPED_TRACE("of known age");
        lease.confirm(m_clock.bootNow() - *m_lease.age());
        EXPECT_TRUE(lease.isValid());
        m_timers.run(LeaseTerm - Seconds(1));
        EXPECT_FALSE(lease.isValid());
    }
}

TEST_F(ConfigurationLeaseTest, CopiesForOtherVmsHoldNoKey)
{
    EXPECT_EQ(m_reader.copy().configuration.find("key-of-a"), std::string::npos);
    const auto table = decodeConfiguration(m_reader.copy().configuration, KeyHasher("secret"));
    ASSERT_TRUE(table.ok()) << table.status().message();
    const KeyDigest digest = KeyHasher("secret").digestOf("key-of-a");
    ASSERT_NE((*table)->organisations->findByKey(digest), nullptr);
    EXPECT_EQ((*table)->organisations->findByKey(digest)->id, OrganisationId("a"));
}

/** A VM that started from a copy may be the one that another VM gets its copy from. */
TEST_F(ConfigurationLeaseTest, CopyOfACopyKeepsTheKeys)
{
    const KeyHasher hasher("secret");
    const std::string again = withoutApiKeys(m_reader.copy().configuration, hasher);
    const auto table = decodeConfiguration(again, hasher);
    ASSERT_TRUE(table.ok()) << table.status().message();
    EXPECT_NE((*table)->organisations->findByKey(hasher.digestOf("key-of-a")), nullptr);
}

/** An invalid version must neither take effect in part nor end the service of the valid one. */
TEST_F(ConfigurationLeaseTest, InvalidVersionLeavesTheOneBeforeInForce)
{
    m_store.put(
        {"op", "", "config"},
        R"({"version":6,"tenants":[{"name":"a","apiKeys":["k"]},{"name":"b","apiKeys":["k"]}]})");
    m_timers.run(Seconds(8));
    EXPECT_EQ(m_version, ConfigurationVersion(5));
    EXPECT_TRUE(m_lease.isValid());
}

// Another writer leaves an odd entry. VMs that read the list ended again and again, or stopped
// following it, in systems like this one.
TEST_F(RegistryReaderTest, OddEntriesNameNoReplicaAndTheOthersHold)
{
    constexpr std::size_t Depth = 20'000;
    const auto entry = [](const std::string &address, const std::string &slots,
                          const std::string &sequence) {
        return absl::StrCat(R"({"service":"s","addr":")", address,
                            R"(","zone":"z","version":"v1","coldLeftMs":0,"state":"ready",)"
                            R"("slots":)",
                            slots, R"(,"seq":)", sequence, "}");
    };
    const std::string odd[] = {
        std::string(Depth, '[') + std::string(Depth, ']'),
        R"({"service":)" + std::string(Depth, '[') + std::string(Depth, ']') + "}",
        std::string(Depth, '{'),
        entry("10.0.0.9:65536", "4", "1"),
        entry("10.0.0.9:-1", "4", "1"),
        entry("10.0.0.9:99999999999999999999", "4", "1"),
        entry("10.0.0.9:", "4", "1"),
        entry("10.0.0.999:80", "4", "1"),
        entry("10.0.0.9:80", "9223372036854775807", "1"),
        entry("10.0.0.9:80", "1e999", "1"),
        entry("10.0.0.9:80", "-4", "1"),
        entry("10.0.0.9:80", "4", "123456789012345678901234567890"),
        entry("10.0.0.9:80", "4", R"({"a":1})"),
        std::string("\xff\x00\xfe", 3),
        "",
        "null",
        std::string(60'000, '1'),
    };
    int sequence = 1;
    for (const std::string &value : odd) {
        SCOPED_TRACE(value.substr(0, 80));
        m_store.put(replicaRow("odd"), value);
        m_store.put(replicaRow("a"), registration("ready", ++sequence));
        m_timers.run(Milliseconds(1'900));
        EXPECT_EQ(m_replicas.find(ReplicaId("odd")), nullptr);
        EXPECT_TRUE(isUsable("a"));
        EXPECT_FALSE(m_reader.copy().registrations.contains("odd"));
    }
    {
        SCOPED_TRACE("a name that would end a header field");
        m_store.put(replicaRow("x\r\nHold: 1"), registration("ready", 1));
        m_timers.run(Milliseconds(1'900));
        EXPECT_EQ(m_replicas.find(ReplicaId("x\r\nHold: 1")), nullptr);
    }
    {
        SCOPED_TRACE("the list is still followed, also from its start");
        m_store.put(replicaRow("odd"), odd[0]);
        m_store.compact();
        m_store.put(replicaRow("late"), registration("ready", 1));
        m_timers.run(Seconds(3));
        EXPECT_TRUE(isUsable("late"));
        EXPECT_TRUE(isUsable("b"));
    }
}

} // namespace boragepath::platform
