// Which software version began a stream that its caller takes up at another VM.

#include "control/stream_origins.h"
#include "tests/support/manual_timers.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <absl/strings/str_cat.h>

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace boragepath {

namespace {

constexpr Milliseconds DatagramDelay{2};
/** Longer than the streams of callers last, so that VMs trust what they have seen meanwhile. */
constexpr Seconds LongTime{20};
constexpr Milliseconds RegistryReadInterval{800};
const PoolName Service("service");

ReplicaEntry replica(const std::string &id, const std::string &version, std::int64_t startedAt = 1)
{
    ReplicaEntry entry;
    entry.id = ReplicaId(id);
    entry.service = Service;
    entry.endpoint = {"10.0.0.9", 80};
    entry.softwareVersion = SoftwareVersion(version);
    entry.startedAtMillis = startedAt;
    return entry;
}

/** VMs that know each other, each with its own picture of the replicas. */
class OriginFleet
{
public:
    explicit OriginFleet(std::size_t count, std::uint64_t seed = 1)
        : m_random(seed)
    {
        for (std::size_t index = 0; index < count; ++index) {
            vms.push_back(std::make_unique<Vm>(*this, index, 1));
        }
        exchangeVmNews();
        readRegistry();
    }

    struct Vm
    {
        Vm(OriginFleet &fleet, std::size_t index, std::int64_t incarnation)
            : replicas(fleet.clock)
            , directory(fleet.clock, entryOf(index, incarnation), index)
            , origins(fleet.timers, replicas, directory,
                      [&fleet, index](const Endpoint &to, const peers::StreamOriginNote &note) {
                          fleet.send(index, to, note);
                      })
        { }

        static VmEntry entryOf(std::size_t index, std::int64_t incarnation)
        {
            VmEntry entry;
            entry.vm = VmId(absl::StrCat("vm-", index));
            entry.front = {"10.0.0.1", static_cast<std::uint16_t>(1'000 + index)};
            entry.peers = {"10.0.0.1", static_cast<std::uint16_t>(2'000 + index)};
            entry.incarnation = incarnation;
            return entry;
        }

        ReplicaTable replicas;
        VmDirectory directory;
        StreamOrigins origins;
    };

    /** All VMs read the registration of a replica. */
    void registerEverywhere(const ReplicaEntry &entry)
    {
        for (const auto &vm : vms) {
            vm->replicas.put(entry);
        }
    }

    void begin(std::size_t vm, const std::string &attempt, const ReplicaEntry &at)
    {
        vms[vm]->origins.note(AttemptId(attempt), {Service, at.softwareVersion, at.id});
        timers.run(Milliseconds(10));
    }

    /** The version at which a stream may go on; empty if that is not known. */
    std::string find(std::size_t vm, const std::string &attempt)
    {
        std::optional<OriginLookup> result;
        vms[vm]->origins.find(AttemptId(attempt), Service,
                              [&result](const OriginLookup &lookup) { result = lookup; });
        timers.run(Milliseconds(100));
        if (!result.has_value()) {
            ADD_FAILURE() << "no answer within 100 ms";
            return "";
        }
        return result->origin.has_value() ? result->origin->version.value() : "";
    }

    /** Kills the process of a VM and starts a new one, which reads the registry. */
    void restart(std::size_t index, const std::vector<ReplicaEntry> &registered)
    {
        // Pending timers still refer to the old process.
        m_ended.push_back(std::move(vms[index]));
        vms[index] = std::make_unique<Vm>(*this, index, 1 + static_cast<int>(m_ended.size()));
        for (const ReplicaEntry &entry : registered) {
            vms[index]->replicas.put(entry);
        }
        tellVmNews();
    }

    ManualClock clock;
    ManualTimers timers{clock};
    std::vector<std::unique_ptr<Vm>> vms;
    /** VMs whose datagrams get lost. */
    std::set<std::size_t> unreachable;
    /** Probability that a datagram is lost. */
    double lossRate = 0;

private:
    void send(std::size_t from, const Endpoint &to, const peers::StreamOriginNote &note)
    {
        const bool lost = std::uniform_real_distribution<double>(0, 1)(m_random) < lossRate;
        if (lost || unreachable.contains(from)) {
            return;
        }
        timers.after(DatagramDelay, [this, from, to, note] {
            for (std::size_t index = 0; index < vms.size(); ++index) {
                if (vms[index]->directory.self().peers == to && !unreachable.contains(index)) {
                    vms[index]->origins.receive(vms[from]->directory.self().peers, note);
                }
            }
        });
    }

    void tellVmNews()
    {
        for (const auto &sender : vms) {
            for (const auto &receiver : vms) {
                receiver->directory.receive(sender->directory.ownNews());
            }
        }
    }

    void exchangeVmNews()
    {
        tellVmNews();
        timers.after(Seconds(1), [this] { exchangeVmNews(); });
    }

    void readRegistry()
    {
        for (const auto &vm : vms) {
            vm->replicas.noteRegistryRead();
        }
        timers.after(RegistryReadInterval, [this] { readRegistry(); });
    }

    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Vm>> m_ended;
};

const ReplicaEntry Old = replica("i-1", "v1");
const ReplicaEntry New = replica("i-2", "v1.2");

} // namespace

TEST(StreamOriginsTest, StreamOfAKilledVmGoesOnAtItsVersionThroughAnyOtherVm)
{
    OriginFleet fleet(8);
    fleet.registerEverywhere(Old);
    fleet.registerEverywhere(New);
    fleet.timers.run(LongTime);
    fleet.begin(0, "a", New);
    fleet.begin(0, "b", Old);
    fleet.unreachable = {0};
    for (std::size_t vm = 1; vm < fleet.vms.size(); ++vm) {
        EXPECT_EQ(fleet.find(vm, "a"), "v1.2") << vm;
        EXPECT_EQ(fleet.find(vm, "b"), "v1") << vm;
    }
    {
        SCOPED_TRACE("nobody has heard of the stream: no version is assumed");
        EXPECT_EQ(fleet.find(1, "begun-nowhere"), "");
    }
    {
        SCOPED_TRACE("all VMs have restarted: what they knew is gone");
        for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
            fleet.restart(vm, {Old, New});
        }
        EXPECT_EQ(fleet.find(1, "a"), "");
    }
}

TEST(StreamOriginsTest, AVersionCountsAsTheOnlyOneOnceNoStreamOfAnotherCanBeLeft)
{
    OriginFleet fleet(3);
    fleet.registerEverywhere(New);
    {
        SCOPED_TRACE("the VMs have just started and may have missed another version");
        EXPECT_EQ(fleet.find(0, "a"), "");
    }
    fleet.timers.run(LongTime);
    EXPECT_EQ(fleet.find(0, "a"), "v1.2");
    {
        SCOPED_TRACE("a VM that has just started learns it from the others");
        fleet.restart(0, {New});
        EXPECT_EQ(fleet.find(0, "a"), "v1.2");
    }
    {
        SCOPED_TRACE("another version has come, and gone a moment ago");
        fleet.registerEverywhere(Old);
        EXPECT_EQ(fleet.find(1, "a"), "");
        for (const auto &vm : fleet.vms) {
            vm->replicas.remove(Old.id, fleet.clock.now());
        }
        EXPECT_EQ(fleet.find(1, "a"), "");
        fleet.timers.run(LongTime);
        EXPECT_EQ(fleet.find(1, "a"), "v1.2");
    }
}

/** Right after the first replica of a new version has registered, VMs differ in what they know. */
TEST(StreamOriginsTest, ARecordGoesBeforeWhatAVmTakesForTheOnlyVersion)
{
    OriginFleet fleet(4);
    fleet.registerEverywhere(Old);
    fleet.timers.run(LongTime);
    fleet.vms[0]->replicas.put(New);
    fleet.begin(0, "a", New);
    fleet.restart(1, {Old, New});
    EXPECT_EQ(fleet.find(1, "a"), "v1.2");
}

/**
 * During a release a VM is cut off from the store, or stands still, while a replica of the new
 * version joins. Streams that begin there through other VMs are taken up at this one.
 */
TEST(StreamOriginsTest, AVmThatHasNotSeenTheNewVersionAssumesNoOther)
{
    for (std::size_t outOfStep = 1; outOfStep < 8; ++outOfStep) {
        SCOPED_TRACE(outOfStep);
        OriginFleet fleet(8);
        fleet.registerEverywhere(Old);
        fleet.timers.run(LongTime);
        for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm) {
            if (vm != outOfStep) {
                fleet.vms[vm]->replicas.put(New);
            }
        }
        fleet.begin(0, "a", New);
        EXPECT_EQ(fleet.find(outOfStep, "a"), "v1.2");
        EXPECT_EQ(fleet.find(outOfStep, "begun-before"), "") << "the others know two versions";
    }
}

TEST(StreamOriginsTest, AVmThatHearsNobodyAssumesNoVersion)
{
    OriginFleet fleet(4);
    fleet.registerEverywhere(Old);
    fleet.timers.run(LongTime);
    EXPECT_EQ(fleet.find(1, "a"), "v1");
    fleet.unreachable = {0, 2, 3};
    EXPECT_EQ(fleet.find(1, "a"), "");
}

/** The steady clock doesn't count the time in which a machine is suspended. */
TEST(StreamOriginsTest, AVmThatWasSuspendedDoesNotFollowTheRegistry)
{
    ManualClock clock;
    ReplicaTable replicas(clock);
    replicas.put(Old);
    for (int read = 0; read < 30; ++read) {
        replicas.noteRegistryRead();
        clock.advance(RegistryReadInterval);
    }
    EXPECT_TRUE(replicas.isRegistryFollowed());
    EXPECT_TRUE(replicas.onlyVersion(Service).has_value());
    clock.suspend(Seconds(5));
    EXPECT_FALSE(replicas.isRegistryFollowed());
    EXPECT_FALSE(replicas.onlyVersion(Service).has_value());
    replicas.noteRegistryRead();
    EXPECT_TRUE(replicas.isRegistryFollowed());
    EXPECT_FALSE(replicas.onlyVersion(Service).has_value()) << "it may have missed a version";
}

TEST(StreamOriginsTest, AReplicaThatRestartedAtAnotherVersionUnderItsIdLeavesTheOriginUncertain)
{
    OriginFleet fleet(2);
    const StreamOrigin origin{Service, Old.softwareVersion, Old.id};
    EXPECT_TRUE(fleet.vms[0]->origins.isCertain(origin));
    fleet.registerEverywhere(Old);
    EXPECT_TRUE(fleet.vms[0]->origins.isCertain(origin));
    fleet.registerEverywhere(replica("i-1", "v1", 2));
    EXPECT_TRUE(fleet.vms[0]->origins.isCertain(origin));
    fleet.registerEverywhere(replica("i-1", "v1.2", 3));
    EXPECT_FALSE(fleet.vms[0]->origins.isCertain(origin));
}

RC_GTEST_PROP(StreamOriginsProperty, NoVersionIsAssumedThatDidNotBeginTheStream,
              (std::uint32_t seed))
{
    std::mt19937 random(seed);
    OriginFleet fleet(5, seed);
    const std::vector<ReplicaEntry> registered = {Old, New, replica("i-3", "v2")};
    for (const ReplicaEntry &entry : registered) {
        fleet.registerEverywhere(entry);
    }
    fleet.lossRate = 0.3;
    std::vector<std::string> versions;
    for (int step = 0; step < 40; ++step) {
        const std::size_t vm = random() % fleet.vms.size();
        if (random() % 5 == 0) {
            fleet.restart(vm, registered);
        }
        const ReplicaEntry &at = registered[random() % registered.size()];
        fleet.begin(vm, absl::StrCat("stream-", versions.size()), at);
        versions.push_back(at.softwareVersion.value());
        const std::size_t stream = random() % versions.size();
        const std::string found =
            fleet.find(random() % fleet.vms.size(), absl::StrCat("stream-", stream));
        RC_ASSERT(found.empty() || found == versions[stream]);
    }
}

} // namespace boragepath
