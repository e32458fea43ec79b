// Order and limits of calls that wait for a free slot at a replica.

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

/** Simulates a burst of more programs than the slots can finish in time. */
class BurstSimulation
{
public:
    using Order = std::function<void(std::vector<QueuedCall> &, SteadyTime)>;

    explicit BurstSimulation(Order order)
        : m_order(std::move(order))
    { }

    /** Runs the simulation; returns the share of the programs that meet their deadline. */
    double shareInTime()
    {
        std::mt19937 random(5);
        for (m_now = SteadyTime(); m_now < SteadyTime() + BurstDuration * 3; m_now += Step) {
            finishTurns();
            const bool arriving = m_now < SteadyTime() + BurstDuration;
            if (arriving && static_cast<int>(random() % 100) < ArrivalsInHundredSteps) {
                addProgram();
            }
            m_order(m_queue, m_now);
            while (!m_queue.empty() && m_running.size() < Slots) {
                m_running.push_back({m_queue.front().handle, m_now + TurnTime});
                m_queue.erase(m_queue.begin());
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
        SteadyTime endsAt;
    };

    void addProgram()
    {
        const CallHandle handle(m_programs.size() + 1);
        m_programs[handle] = {Turns, m_now + TurnTime * Turns * 2};
        enqueue(handle, false);
    }

    void enqueue(CallHandle handle, bool programStarted)
    {
        QueuedCall call;
        call.handle = handle;
        call.programDeadline = m_programs[handle].due;
        call.programStarted = programStarted;
        call.queuedAt = m_now;
        m_queue.push_back(call);
    }

    void finishTurns()
    {
        for (auto turn = m_running.begin(); turn != m_running.end();) {
            if (m_now < turn->endsAt) {
                ++turn;
                continue;
            }
            Program &program = m_programs[turn->program];
            program.turnsLeft -= 1;
            if (program.turnsLeft > 0) {
                enqueue(turn->program, true);
            } else {
                m_inTime += m_now <= program.due ? 1 : 0;
            }
            turn = m_running.erase(turn);
        }
    }

    static constexpr std::size_t Slots = 24;
    static constexpr int Turns = 4;
    static constexpr Milliseconds TurnTime{400};
    static constexpr Seconds BurstDuration{8};
    /** The slots finish 15 programs a second, and 24 arrive. */
    static constexpr int ArrivalsInHundredSteps = 24;

    Order m_order;
    SteadyTime m_now;
    std::map<CallHandle, Program> m_programs;
    std::vector<QueuedCall> m_queue;
    std::list<Running> m_running;
    int m_inTime = 0;
};

QueuedCall queuedCall(std::uint64_t handle)
{
    QueuedCall call;
    call.handle = CallHandle(handle);
    return call;
}

/** One VM with one replica, which has one slot and a queue for one request. */
class CallQueueTest : public testing::Test
{
protected:
    CallQueueTest()
        : m_timers(m_clock)
        , m_store(m_timers, 3)
        , m_health(m_clock)
        , m_replicas(m_clock)
        , m_ledger(m_clock, m_timers, m_store, m_health, 1)
        , m_grants(m_clock, m_timers, m_ledger, m_health, "vm/1")
        , m_turns(m_clock, m_timers, m_store, m_health, 100'000, 1)
        , m_vms(m_clock, {}, 1)
        , m_relay(m_clock, m_timers, m_ledger, m_grants, m_vms, nullptr)
        , m_streams(m_timers, m_replicas, m_vms, nullptr)
        , m_outputs(m_timers, m_vms, 100'000, nullptr)
        , m_limits(m_clock)
        , m_permits(m_clock, m_timers, m_limits, m_vms, nullptr, 1)
        , m_quarantine(m_clock, m_timers, m_vms, nullptr)
        , m_lease(m_clock)
        , m_quotas(m_clock, m_timers, m_vms, nullptr, 1)
        , m_scheduler({m_clock, m_timers, m_replicas, m_relay, m_turns, m_streams, m_outputs, m_vms,
                       m_health, m_limits, m_permits, m_quarantine, m_lease, m_quotas, ZoneId("z")})
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

    void useStreams()
    {
        auto table = std::make_shared<RouteTable>(*m_scheduler.routes());
        table->version = ConfigurationVersion(2);
        table->routes.front().kind = RequestKind::Stream;
        m_scheduler.setRouteTable(table);
    }

    void putReplica(std::int64_t slots)
    {
        ReplicaEntry entry;
        entry.id = ReplicaId("replica");
        entry.service = PoolName("service");
        entry.slots = slots;
        m_replicas.put(entry);
    }

    /** The replica accepts @p limit connections from this VM and @p otherVms others together. */
    void setConnectionLimit(std::int64_t limit, int otherVms)
    {
        auto table = std::make_shared<RouteTable>(*m_scheduler.routes());
        table->version = ConfigurationVersion(2);
        table->services[PoolName("service")].maxConnections = limit;
        m_scheduler.setRouteTable(table);
        for (int number = 1; number <= otherVms; ++number) {
            VmEntry entry;
            entry.vm = VmId(absl::StrCat("vm-", number));
            m_vms.addFromStore(entry);
        }
        m_vms.markRowsRead();
    }

    void openCall(const std::string &id, std::optional<Milliseconds> programDuration = std::nullopt,
                  const std::string &object = "", const std::string &program = "")
    {
        IncomingCall call;
        call.program = ProgramId(program);
        call.object = object;
        call.attempt = AttemptId(id);
        call.host = "h";
        call.path = "/x";
        call.callerTimeout = Milliseconds(4'000);
        if (programDuration.has_value()) {
            call.programDeadline = m_clock.now() + *programDuration;
        }
        m_scheduler.open(call, [this, id](const CallDecision &decision) {
            if (const auto *dispatch = std::get_if<CallDispatch>(&decision)) {
                m_sent.push_back(id);
                m_replicaOf[id] = dispatch->replica.id;
                m_handles[id] = dispatch->handle;
            } else {
                m_refused.push_back(id);
            }
        });
    }

    void closeCall(const std::string &id, bool answerComplete = false)
    {
        CallCompletion completion;
        completion.answerComplete = answerComplete;
        m_scheduler.close(m_handles.at(id), completion, [](bool) {});
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
    StreamOrigins m_streams;
    StreamOutputs m_outputs;
    ReplicaLimits m_limits;
    SendPermits m_permits;
    RequestQuarantine m_quarantine;
    ConfigurationLease m_lease;
    OrganisationQuotas m_quotas;
    CallScheduler m_scheduler;
    std::map<std::string, CallHandle> m_handles;
    std::map<std::string, ReplicaId> m_replicaOf;
    std::vector<std::string> m_sent;
    std::vector<std::string> m_refused;
};

} // namespace

TEST(CallQueueOrder, InABurstMoreProgramsMeetTheirDeadlineThanInOrderOfArrival)
{
    const double byArrival =
        BurstSimulation([](std::vector<QueuedCall> &calls, SteadyTime) {
            std::stable_sort(calls.begin(), calls.end(), [](const auto &left, const auto &right) {
                return left.queuedAt < right.queuedAt;
            });
        }).shareInTime();
    const double byDeadline = BurstSimulation(sortCallQueue).shareInTime();
    EXPECT_GT(byDeadline, byArrival * 1.5) << byArrival;
}

TEST(CallQueueOrder, SortsByMissedDeadlineThenPriorityThenStartedProgramThenDeadline)
{
    const SteadyTime now = SteadyTime() + Seconds(100);
    QueuedCall late = queuedCall(1);
    late.programDeadline = now - Seconds(1);
    late.programStarted = true;
    QueuedCall lessUrgent = queuedCall(2);
    lessUrgent.programDeadline = now + Seconds(1);
    lessUrgent.priority = 1;
    lessUrgent.programStarted = true;
    QueuedCall newProgram = queuedCall(3);
    newProgram.programDeadline = now + Seconds(2);
    QueuedCall soon = queuedCall(4);
    soon.programDeadline = now + Seconds(2);
    soon.programStarted = true;
    QueuedCall later = queuedCall(5);
    later.programDeadline = now + Seconds(3);
    later.programStarted = true;
    std::vector<QueuedCall> calls = {late, lessUrgent, newProgram, later, soon};
    sortCallQueue(calls, now);
    std::vector<std::uint64_t> order;
    for (const QueuedCall &call : calls) {
        order.push_back(call.handle.value());
    }
    EXPECT_EQ(order, (std::vector<std::uint64_t>{4, 5, 3, 2, 1}));
}

TEST_F(CallQueueTest, QueuedCallsAreSentByDeadlineWhenSlotsBecomeFree)
{
    // The replica runs one request and queues another one itself.
    openCall("first");
    openCall("second");
    openCall("third", Milliseconds(5'000));
    openCall("urgent", Milliseconds(2'000));
    EXPECT_EQ(m_sent, (std::vector<std::string>{"first", "second"}));
    closeCall("first");
    EXPECT_EQ(m_sent.back(), "urgent");
    closeCall("second");
    EXPECT_EQ(m_sent.back(), "third");
    EXPECT_TRUE(m_refused.empty());
}

TEST_F(CallQueueTest, ACallWithoutASlotInTimeIsRefusedAndNeverSent)
{
    openCall("first");
    openCall("second");
    openCall("third");
    m_timers.run(Seconds(3));
    EXPECT_EQ(m_refused, std::vector<std::string>{"third"});
    EXPECT_EQ(m_sent.size(), 2U);
    closeCall("first");
    EXPECT_EQ(m_sent.size(), 2U);
}

/**
 * While calls wait for slots, a program that begins would be served in the pauses of those under
 * way and make all of them late.
 */
TEST_F(CallQueueTest, WhileCallsWaitNoProgramBeginsAndThoseUnderWayGoOn)
{
    useStreams();
    openCall("first");
    openCall("second");
    openCall("waiting");
    openCall("new", std::nullopt, "", "program");
    EXPECT_EQ(m_refused, std::vector<std::string>{"new"});
    {
        SCOPED_TRACE("a call that arrives later does not pass the one that waits");
        openCall("later");
        closeCall("first");
        EXPECT_EQ(m_sent.back(), "waiting");
    }
    {
        SCOPED_TRACE("a program begins once nothing waits");
        closeCall("second");
        closeCall("waiting");
        closeCall("later");
        openCall("again", std::nullopt, "", "program");
        EXPECT_EQ(m_sent.back(), "again");
    }
}

/**
 * When all VMs lose power, their old connections stay open at the replicas for seconds.
 * The connections of the restarted processes must fit within the limit as well.
 */
TEST_F(CallQueueTest, ReplicaConnectionsSufficeForAllVmsBeforeAndAfterARestart)
{
    constexpr int OtherVms = 10;
    constexpr std::int64_t MaxConnections = 110;
    putReplica(100);
    setConnectionLimit(MaxConnections, OtherVms);
    for (int call = 0; call < 60; ++call) {
        openCall(absl::StrCat("call-", call));
    }
    EXPECT_GT(m_sent.size(), 1U);
    EXPECT_LE(m_sent.size() * (OtherVms + 1) * 2, static_cast<std::size_t>(MaxConnections));
    EXPECT_TRUE(m_refused.empty());
}

/**
 * The replica that the object's hash selects is busy once, so another one handles the
 * object; later requests must follow it there.
 */
TEST_F(CallQueueTest, OnARouteWithAffinityRequestsFollowTheirObject)
{
    auto table = std::make_shared<RouteTable>(*m_scheduler.routes());
    table->version = ConfigurationVersion(2);
    table->routes.front().hasAffinity = true;
    m_scheduler.setRouteTable(table);
    for (int number = 1; number <= 4; ++number) {
        ReplicaEntry entry;
        entry.id = ReplicaId(absl::StrCat("replica-", number));
        entry.service = PoolName("service");
        entry.slots = 2;
        m_replicas.put(entry);
    }
    openCall("hashed", std::nullopt, "object");
    const ReplicaId hashed = m_replicaOf.at("hashed");
    m_replicas.beginRequest(hashed);
    m_replicas.beginRequest(hashed);
    openCall("elsewhere", std::nullopt, "object");
    const ReplicaId other = m_replicaOf.at("elsewhere");
    EXPECT_NE(other, hashed);
    closeCall("hashed", false);
    closeCall("elsewhere", true);
    m_replicas.endRequest(hashed, {});
    m_replicas.endRequest(hashed, {});
    openCall("next", std::nullopt, "object");
    EXPECT_EQ(m_replicaOf.at("next"), other);
}

TEST_F(CallQueueTest, ACallWaitsWhileThisVmsConnectionsAreInUse)
{
    putReplica(100);
    setConnectionLimit(2, 0);
    openCall("first");
    openCall("second");
    EXPECT_EQ(m_sent, std::vector<std::string>{"first"});
    EXPECT_TRUE(m_refused.empty());
    closeCall("first");
    EXPECT_EQ(m_sent.back(), "second");
}

} // namespace boragepath
