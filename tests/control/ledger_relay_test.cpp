// Changes of a program's budget that meet at one VM, over datagrams that may be lost.

#include "control/ledger_relay.h"
#include "tests/support/memory_row_store.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace boragepath {

namespace {

constexpr Milliseconds DatagramTime{2};
constexpr Seconds Patience{2};

/** VMs that know each other, one store, and datagrams between them. */
class RelayFleet
{
public:
    explicit RelayFleet(std::size_t count, std::uint64_t seed = 9)
        : m_random(seed)
        , timers(clock)
        , store(timers, seed)
    {
        for (std::size_t index = 0; index < count; ++index) {
            addVm(index, seed + index);
        }
        tellNews();
    }

    void reserve(std::size_t vm, const std::string &turn, std::int64_t budget, std::int64_t most,
                 std::function<void(ReservationResult)> done)
    {
        vms[vm]->relay.reserve({ProgramId("program"), AttemptId(turn), budget, most}, "line",
                               clock.now() + Patience,
                               [this, done = std::move(done)](ReservationResult reservation,
                                                              const ReplicaId &promptReplica) {
                                   lastPromptAt = promptReplica;
                                   done(reservation);
                               });
    }

    void settle(std::size_t vm, const std::string &turn, std::int64_t tokens)
    {
        vms[vm]->relay.settle({ProgramId("program"), AttemptId(turn), tokens},
                              {"line", ReplicaId("replica-1")});
    }

    /** Kills the process of a VM and starts another one at the same address. */
    void restart(std::size_t vm)
    {
        // Timers and calls of the old process must not find another object in its place.
        m_ended.push_back(std::move(vms[vm]));
        addVm(vm, 100 + m_ended.size());
        std::swap(vms[vm], vms.back());
        vms.pop_back();
    }

    ProgramRecord record() const
    {
        const auto found = store.rows().find(programRow(ProgramId("program")));
        return found == store.rows().end() ? ProgramRecord()
                                           : decodeProgramRecord(found->second.value).value();
    }

    /** Share of datagrams that are lost. */
    double lost = 0;
    std::set<Endpoint> dead;
    /** What the last reservation told of the prompt's place. */
    ReplicaId lastPromptAt;

private:
    struct Vm
    {
        Vm(RelayFleet &fleet, VmEntry entry, std::uint64_t seed)
            : health(fleet.clock)
            , ledger(fleet.clock, fleet.timers, fleet.store, health, seed)
            , directory(fleet.clock, entry, seed)
            , grants(fleet.clock, fleet.timers, ledger, health,
                     absl::StrCat(entry.vm.value(), "/", entry.incarnation))
            , relay(fleet.clock, fleet.timers, ledger, grants, directory,
                    [this, &fleet, from = entry.peers](const Endpoint &to,
                                                       const peers::LedgerNote &note) {
                        if (!fleet.ended(this)) {
                            fleet.send(from, to, note);
                        }
                    })
        { }

        StoreHealth health;
        ProgramLedger ledger;
        VmDirectory directory;
        BudgetGrants grants;
        LedgerRelay relay;
    };

    bool ended(const Vm *vm) const
    {
        return std::any_of(m_ended.begin(), m_ended.end(),
                           [vm](const auto &item) { return item.get() == vm; });
    }

    void addVm(std::size_t index, std::uint64_t seed)
    {
        VmEntry entry;
        entry.vm = VmId(absl::StrCat("vm-", index));
        entry.front = {"10.0.0.1", static_cast<std::uint16_t>(1'000 + index)};
        entry.peers = {"10.0.0.1", static_cast<std::uint16_t>(2'000 + index)};
        entry.incarnation = toMillis(clock.now().time_since_epoch()) + 1;
        vms.push_back(std::make_unique<Vm>(*this, entry, seed));
    }

    void tellNews()
    {
        for (const auto &teller : vms) {
            for (const auto &hearer : vms) {
                hearer->directory.receive(teller->directory.news().front());
            }
        }
        timers.after(Seconds(1), [this] { tellNews(); });
    }

    void send(const Endpoint &from, const Endpoint &to, const peers::LedgerNote &note)
    {
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < lost || dead.contains(from)
            || dead.contains(to)) {
            return;
        }
        timers.after(DatagramTime, [this, from, to, note] {
            for (const auto &vm : vms) {
                if (vm->directory.self().peers == to) {
                    vm->relay.receive(from, note);
                }
            }
        });
    }

    std::mt19937_64 m_random;
    /** Processes that were killed: their calls to the store still arrive, nothing else. */
    std::vector<std::unique_ptr<Vm>> m_ended;

public:
    ManualClock clock;
    ManualTimers timers;
    MemoryRowStore store;
    std::vector<std::unique_ptr<Vm>> vms;
};

} // namespace

TEST(LedgerRelay, TurnsThroughManyVmsCostFewTransactions)
{
    RelayFleet fleet(4);
    constexpr int Turns = 12;
    for (int turn = 0; turn < Turns; ++turn) {
        const std::size_t vm = static_cast<std::size_t>(turn) % 4;
        const std::string id = absl::StrCat("turn-", turn);
        ReservationResult result = ReservationResult::StoreUnavailable;
        fleet.reserve(vm, id, 100'000, 300, [&](ReservationResult answer) { result = answer; });
        fleet.timers.run(Milliseconds(100));
        ASSERT_EQ(result, ReservationResult::Granted);
        fleet.settle(vm, id, 100);
    }
    fleet.timers.run(Seconds(3));
    // A grant covers four turns at their most: two grants and what is given back.
    EXPECT_LE(fleet.store.transactions(), 3);
    EXPECT_EQ(fleet.record().spent, Turns * 100);
    EXPECT_TRUE(fleet.record().reserved.empty());
}

TEST(LedgerRelay, AnOutageOfTheStoreDoesNotEndAProgramUnderWay)
{
    RelayFleet fleet(4);
    int granted = 0;
    const auto takeTurn = [&](int turn) {
        const std::size_t vm = static_cast<std::size_t>(turn) % 4;
        const std::string id = absl::StrCat("turn-", turn);
        fleet.reserve(vm, id, 100'000, 300, [&, vm, id](ReservationResult answer) {
            granted += answer == ReservationResult::Granted ? 1 : 0;
            if (answer == ReservationResult::Granted) {
                fleet.settle(vm, id, 100);
            }
        });
        fleet.timers.run(Milliseconds(400));
    };
    takeTurn(0);
    fleet.store.faults().unavailable = true;
    for (int turn = 1; turn <= 5; ++turn) {
        takeTurn(turn);
    }
    EXPECT_EQ(granted, 6);
    fleet.store.faults().unavailable = false;
    fleet.timers.run(Seconds(10));
    EXPECT_EQ(fleet.record().spent, 600);
}

TEST(LedgerRelay, TurnsLearnWhereThePromptLiesThroughAnyVm)
{
    RelayFleet fleet(4);
    for (std::size_t vm = 0; vm < 4; ++vm) {
        const std::string id = absl::StrCat("turn-", vm);
        fleet.reserve(vm, id, 100'000, 300, [](ReservationResult) {});
        fleet.timers.run(Milliseconds(100));
        EXPECT_EQ(fleet.lastPromptAt, vm == 0 ? ReplicaId() : ReplicaId("replica-1"));
        fleet.settle(vm, id, 10);
        fleet.timers.run(Milliseconds(50));
    }
}

TEST(LedgerRelay, AnotherVmsGrantIsNoProofThatTheBudgetIsSpent)
{
    RelayFleet fleet(2);
    ProgramRecord record;
    record.spent = 100;
    record.reserved[grantName("vm-9/1")] = 700;
    fleet.store.put(programRow(ProgramId("program")), encodeProgramRecord(record));
    ReservationResult result = ReservationResult::Granted;
    fleet.reserve(0, "turn", 1'000, 300, [&](ReservationResult answer) { result = answer; });
    fleet.timers.run(Seconds(3));
    EXPECT_EQ(result, ReservationResult::StoreUnavailable);
    {
        SCOPED_TRACE("without any grant there would be no room either: that is proof");
        fleet.reserve(0, "long", 1'000, 950, [&](ReservationResult answer) { result = answer; });
        fleet.timers.run(Seconds(3));
        EXPECT_EQ(result, ReservationResult::BudgetExhausted);
    }
}

TEST(LedgerRelay, ADeadVmCostsTimeAndNothingElse)
{
    RelayFleet fleet(4);
    for (const auto &vm : fleet.vms) {
        if (!vm->directory.coordinatorFor("program").has_value()) {
            fleet.dead.insert(vm->directory.self().peers);
        }
    }
    for (std::size_t vm = 0; vm < 4; ++vm) {
        const std::string id = absl::StrCat("turn-", vm);
        ReservationResult result = ReservationResult::StoreUnavailable;
        fleet.reserve(vm, id, 100'000, 300, [&](ReservationResult answer) { result = answer; });
        fleet.timers.run(Milliseconds(100));
        EXPECT_EQ(result, ReservationResult::Granted);
        fleet.settle(vm, id, 10);
    }
    fleet.timers.run(Seconds(5));
    EXPECT_EQ(fleet.record().spent, 40);
}

/** Lost datagrams and a faulty store at once: changes made twice take effect once. */
RC_GTEST_PROP(LedgerRelayProperty, HandedOutTokensNeverPassTheBudget, (std::uint64_t seed))
{
    constexpr std::int64_t Budget = 3'000;
    constexpr std::int64_t Most = 300;
    std::mt19937_64 random(seed);
    RelayFleet fleet(4, seed);
    fleet.lost = 0.3;
    fleet.store.faults() = {0.1, 0.1, 0.1, false};
    std::int64_t handedOut = 0;
    for (int turn = 0; turn < 40; ++turn) {
        const std::size_t vm = random() % 4;
        const auto tokens = static_cast<std::int64_t>(random() % (Most + 1));
        const std::string id = absl::StrCat("turn-", turn);
        fleet.reserve(vm, id, Budget, Most, [&, vm, id, tokens](ReservationResult answer) {
            if (answer == ReservationResult::Granted) {
                handedOut += tokens;
                fleet.settle(vm, id, tokens);
            }
        });
        fleet.timers.run(Milliseconds(random() % 500));
        RC_ASSERT(handedOut <= Budget);
    }
    fleet.store.faults() = {};
    fleet.timers.run(Seconds(60));
    RC_ASSERT(handedOut <= Budget);
    RC_ASSERT(fleet.record().spent == handedOut);
    RC_ASSERT(committedTokens(fleet.record()) <= Budget);
}

/** VMs killed at any step: what they had reserved counts, whatever became of it. */
RC_GTEST_PROP(LedgerRelayProperty, KilledVmsNeverMakeABudgetLonger, (std::uint64_t seed))
{
    constexpr std::int64_t Budget = 6'000;
    constexpr std::int64_t Most = 300;
    std::mt19937_64 random(seed);
    RelayFleet fleet(3, seed);
    fleet.lost = 0.1;
    fleet.store.faults() = {0.05, 0.1, 0.1, false};
    std::int64_t handedOut = 0;
    std::int64_t killedPromises = 0;
    for (int turn = 0; turn < 60; ++turn) {
        const std::size_t vm = random() % 3;
        const auto tokens = static_cast<std::int64_t>(random() % (Most + 1));
        const std::string id = absl::StrCat("turn-", turn);
        fleet.reserve(vm, id, Budget, Most, [&, vm, id, tokens](ReservationResult answer) {
            if (answer == ReservationResult::Granted) {
                handedOut += tokens;
                fleet.settle(vm, id, tokens);
            }
        });
        fleet.timers.run(Milliseconds(random() % 400));
        RC_ASSERT(handedOut <= Budget);
        if (random() % 10 == 0) {
            fleet.restart(random() % 3);
            killedPromises += 1;
        }
    }
    fleet.store.faults() = {};
    fleet.lost = 0;
    fleet.timers.run(Seconds(60));
    RC_ASSERT(handedOut <= Budget);
    RC_ASSERT(committedTokens(fleet.record()) <= Budget);
    RC_ASSERT(killedPromises > 0 || fleet.record().spent == handedOut);
    RC_ASSERT(committedTokens(fleet.record()) >= handedOut);
}

} // namespace boragepath
