// How calls wait for a place at a replica; each test replays the load that its rule answers.

#include "control/call_scheduler.h"
#include "tests/support/memory_row_store.h"

#include <gtest/gtest.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <list>
#include <map>
#include <random>

namespace boragepath {

namespace {

constexpr Milliseconds Step{10};

/** A burst of programs, beyond what the places can finish in time. */
class Burst
{
public:
    using Order = std::function<void(std::vector<WaitingCall> &, SteadyTime)>;

    explicit Burst(Order order)
        : m_order(std::move(order))
    { }

    /** Share of the programs that end in time. */
    double inTime()
    {
        std::mt19937 random(5);
        for (m_now = SteadyTime(); m_now < SteadyTime() + Length * 3; m_now += Step) {
            endTurns();
            const bool bursts = m_now < SteadyTime() + Length;
            if (bursts && static_cast<int>(random() % 100) < ArrivalsInHundredSteps) {
                arrive();
            }
            m_order(m_waiting, m_now);
            while (!m_waiting.empty() && m_running.size() < Places) {
                m_running.push_back({m_waiting.front().handle, m_now + TurnTime});
                m_waiting.erase(m_waiting.begin());
            }
        }
        return static_cast<double>(m_inTime) / static_cast<double>(m_programs.size());
    }

private:
    struct Program
    {
        int turnsLeft = Turns;
        SteadyTime due;
    };
    struct Running
    {
        CallHandle program;
        SteadyTime until;
    };

    void arrive()
    {
        const CallHandle handle(m_programs.size() + 1);
        m_programs[handle] = {Turns, m_now + TurnTime * Turns * 2};
        wait(handle, false);
    }

    void wait(CallHandle handle, bool underWay)
    {
        WaitingCall call;
        call.handle = handle;
        call.programDeadline = m_programs[handle].due;
        call.underWay = underWay;
        call.since = m_now;
        m_waiting.push_back(call);
    }

    void endTurns()
    {
        for (auto turn = m_running.begin(); turn != m_running.end();) {
            if (m_now < turn->until) {
                ++turn;
                continue;
            }
            Program &program = m_programs[turn->program];
            program.turnsLeft -= 1;
            if (program.turnsLeft > 0) {
                wait(turn->program, true);
            } else {
                m_inTime += m_now <= program.due ? 1 : 0;
            }
            turn = m_running.erase(turn);
        }
    }

    static constexpr std::size_t Places = 24;
    static constexpr int Turns = 4;
    static constexpr Milliseconds TurnTime{400};
    static constexpr Seconds Length{8};
    /** The places finish 15 programs a second; 24 come. */
    static constexpr int ArrivalsInHundredSteps = 24;

    Order m_order;
    SteadyTime m_now;
    std::map<CallHandle, Program> m_programs;
    std::vector<WaitingCall> m_waiting;
    std::list<Running> m_running;
    int m_inTime = 0;
};

WaitingCall waitingCall(std::uint64_t handle)
{
    WaitingCall call;
    call.handle = CallHandle(handle);
    return call;
}

/** One VM whose only replica has two places. */
class Waiting : public testing::Test
{
protected:
    Waiting()
        : m_timers(m_clock)
        , m_store(m_timers, 3)
        , m_health(m_clock)
        , m_replicas(m_clock)
        , m_ledger(m_clock, m_timers, m_store, m_health, 1)
        , m_grants(m_clock, m_timers, m_ledger, m_health, "vm/1")
        , m_turns(m_clock, m_timers, m_store, m_health, 100'000, 1)
        , m_vms(m_clock, {}, 1)
        , m_relay(m_clock, m_timers, m_ledger, m_grants, m_vms, nullptr)
        , m_scheduler(
              {m_clock, m_timers, m_replicas, m_relay, m_turns, m_vms, m_health, ZoneId("z")})
    {
        auto table = std::make_shared<RouteTable>();
        table->version = ConfigurationVersion(1);
        RoutePolicy route;
        route.name = "ask";
        route.host = "h";
        route.prefix = "/";
        route.kind = RequestKind::Idempotent;
        route.timeout = Milliseconds(4'000);
        route.services.push_back({PoolName("service"), 1});
        table->routes.push_back(route);
        m_scheduler.setRouteTable(table);
        putReplica(1);
    }

    void putReplica(std::int64_t slots)
    {
        ReplicaEntry entry;
        entry.id = ReplicaId("replica");
        entry.service = PoolName("service");
        entry.slots = slots;
        m_replicas.put(entry);
    }

    /** The replica takes this many connections of all VMs, of which there are @p others more. */
    void limitConnections(std::int64_t most, int others)
    {
        auto table = std::make_shared<RouteTable>(*m_scheduler.routes());
        table->version = ConfigurationVersion(2);
        table->services[PoolName("service")].maxConnections = most;
        m_scheduler.setRouteTable(table);
        for (int number = 1; number <= others; ++number) {
            VmEntry entry;
            entry.vm = VmId(absl::StrCat("vm-", number));
            m_vms.addFromStore(entry);
        }
        m_vms.markRowsRead();
    }

    void open(const std::string &id, std::optional<Milliseconds> programTime = std::nullopt)
    {
        IncomingCall call;
        call.attempt = AttemptId(id);
        call.host = "h";
        call.path = "/x";
        call.callerTimeout = Milliseconds(4'000);
        if (programTime.has_value()) {
            call.programDeadline = m_clock.now() + *programTime;
        }
        m_scheduler.open(call, [this, id](const CallDecision &decision) {
            if (const auto *dispatch = std::get_if<CallDispatch>(&decision)) {
                m_sent.push_back(id);
                m_handles[id] = dispatch->handle;
            } else {
                m_refused.push_back(id);
            }
        });
    }

    void end(const std::string &id)
    {
        m_scheduler.close(m_handles.at(id), CallCompletion(), [](bool) {});
        m_timers.run(Milliseconds(20));
    }

    ManualClock m_clock;
    ManualTimers m_timers;
    MemoryRowStore m_store;
    StoreHealth m_health;
    ReplicaTable m_replicas;
    ProgramLedger m_ledger;
    BudgetGrants m_grants;
    TurnArchive m_turns;
    VmDirectory m_vms;
    LedgerRelay m_relay;
    CallScheduler m_scheduler;
    std::map<std::string, CallHandle> m_handles;
    std::vector<std::string> m_sent;
    std::vector<std::string> m_refused;
};

} // namespace

TEST(WaitingLine, ABurstLeavesTheProgramsInTimeThatCanBe)
{
    const double byArrival =
        Burst([](std::vector<WaitingCall> &calls, SteadyTime) {
            std::stable_sort(calls.begin(), calls.end(), [](const auto &left, const auto &right) {
                return left.since < right.since;
            });
        }).inTime();
    const double byAim = Burst(sortWaiting).inTime();
    EXPECT_GT(byAim, byArrival * 1.5) << byArrival;
}

TEST(WaitingLine, LatenessThenRankThenWorkBegunThenAim)
{
    const SteadyTime now = SteadyTime() + Seconds(100);
    WaitingCall late = waitingCall(1);
    late.programDeadline = now - Seconds(1);
    late.underWay = true;
    WaitingCall lessUrgent = waitingCall(2);
    lessUrgent.programDeadline = now + Seconds(1);
    lessUrgent.priority = 1;
    lessUrgent.underWay = true;
    WaitingCall fresh = waitingCall(3);
    fresh.programDeadline = now + Seconds(2);
    WaitingCall soon = waitingCall(4);
    soon.programDeadline = now + Seconds(2);
    soon.underWay = true;
    WaitingCall later = waitingCall(5);
    later.programDeadline = now + Seconds(3);
    later.underWay = true;
    std::vector<WaitingCall> calls = {late, lessUrgent, fresh, later, soon};
    sortWaiting(calls, now);
    std::vector<std::uint64_t> order;
    for (const WaitingCall &call : calls) {
        order.push_back(call.handle.value());
    }
    EXPECT_EQ(order, (std::vector<std::uint64_t>{4, 5, 3, 2, 1}));
}

TEST_F(Waiting, ACallWaitsForAPlaceAndIsSentAsOneIsFreed)
{
    // One place, and one request that may wait at the replica itself.
    open("first");
    open("second");
    open("third", Milliseconds(5'000));
    open("urgent", Milliseconds(2'000));
    EXPECT_EQ(m_sent, (std::vector<std::string>{"first", "second"}));
    end("first");
    EXPECT_EQ(m_sent.back(), "urgent");
    end("second");
    EXPECT_EQ(m_sent.back(), "third");
    EXPECT_TRUE(m_refused.empty());
}

TEST_F(Waiting, WhatFindsNoPlaceInTimeIsRefusedAndHasNotRun)
{
    open("first");
    open("second");
    open("third");
    m_timers.run(Seconds(3));
    EXPECT_EQ(m_refused, std::vector<std::string>{"third"});
    EXPECT_EQ(m_sent.size(), 2U);
    end("first");
    EXPECT_EQ(m_sent.size(), 2U);
}

/** All VMs lose power: their old connections stay open at the replica for seconds. */
TEST_F(Waiting, TwoGenerationsOfAllVmsFitIntoTheConnectionsOfAReplica)
{
    constexpr int Others = 10;
    constexpr std::int64_t Most = 110;
    putReplica(100);
    limitConnections(Most, Others);
    for (int call = 0; call < 60; ++call) {
        open(absl::StrCat("call-", call));
    }
    EXPECT_GT(m_sent.size(), 1U);
    EXPECT_LE(m_sent.size() * (Others + 1) * 2, static_cast<std::size_t>(Most));
    EXPECT_TRUE(m_refused.empty());
}

TEST_F(Waiting, ACallWaitsForOneOfThisVmsConnections)
{
    putReplica(100);
    limitConnections(2, 0);
    open("first");
    open("second");
    EXPECT_EQ(m_sent, std::vector<std::string>{"first"});
    EXPECT_TRUE(m_refused.empty());
    end("first");
    EXPECT_EQ(m_sent.back(), "second");
}

} // namespace boragepath
