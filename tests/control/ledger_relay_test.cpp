// Changes of a program's budget that meet at one VM, over datagrams that may be lost.

#include "control/ledger_relay.h"
#include "tests/support/memory_row_store.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <absl/strings/str_cat.h>

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
                 std::function<void(Reservation)> done)
    {
        vms[vm]->relay.reserve({ProgramId("program"), AttemptId(turn), budget, most},
                               clock.now() + Patience, std::move(done));
    }

    void settle(std::size_t vm, const std::string &turn, std::int64_t tokens)
    {
        vms[vm]->relay.settle({ProgramId("program"), AttemptId(turn), tokens});
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

private:
    struct Vm
    {
        Vm(RelayFleet &fleet, VmEntry entry, std::uint64_t seed)
            : health(fleet.clock)
            , ledger(fleet.clock, fleet.timers, fleet.store, health, seed)
            , directory(fleet.clock, entry, seed)
            , relay(
                  fleet.clock, fleet.timers, ledger, directory,
                  [&fleet, from = entry.peers](const Endpoint &to, const peers::LedgerNote &note) {
                      fleet.send(from, to, note);
                  })
        { }

        StoreHealth health;
        ProgramLedger ledger;
        VmDirectory directory;
        LedgerRelay relay;
    };

    void addVm(std::size_t index, std::uint64_t seed)
    {
        VmEntry entry;
        entry.vm = VmId(absl::StrCat("vm-", index));
        entry.front = {"10.0.0.1", static_cast<std::uint16_t>(1'000 + index)};
        entry.peers = {"10.0.0.1", static_cast<std::uint16_t>(2'000 + index)};
        vms.push_back(std::make_unique<Vm>(*this, entry, seed));
    }

    void tellNews()
    {
        for (const auto &teller : vms) {
            for (const auto &hearer : vms) {
                hearer->directory.hear(teller->directory.news().front());
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
                    vm->relay.hear(from, note);
                }
            }
        });
    }

    std::mt19937_64 m_random;

public:
    ManualClock clock;
    ManualTimers timers;
    MemoryRowStore store;
    std::vector<std::unique_ptr<Vm>> vms;
};

} // namespace

TEST(LedgerRelay, TurnsThroughManyVmsCostOneTransactionEach)
{
    RelayFleet fleet(4);
    constexpr int Turns = 12;
    for (int turn = 0; turn < Turns; ++turn) {
        const std::size_t vm = static_cast<std::size_t>(turn) % 4;
        const std::string id = absl::StrCat("turn-", turn);
        Reservation result = Reservation::StoreAway;
        fleet.reserve(vm, id, 100'000, 300, [&](Reservation answer) { result = answer; });
        fleet.timers.run(Milliseconds(100));
        ASSERT_EQ(result, Reservation::Granted);
        fleet.settle(vm, id, 100);
    }
    fleet.timers.run(Seconds(2));
    EXPECT_EQ(fleet.store.transactions(), Turns + 1);
    EXPECT_EQ(fleet.record().spent, Turns * 100);
}

TEST(LedgerRelay, ADeadVmCostsTimeAndNothingElse)
{
    RelayFleet fleet(4);
    for (const auto &vm : fleet.vms) {
        if (!vm->directory.meetingPoint("program").has_value()) {
            fleet.dead.insert(vm->directory.self().peers);
        }
    }
    for (std::size_t vm = 0; vm < 4; ++vm) {
        const std::string id = absl::StrCat("turn-", vm);
        Reservation result = Reservation::StoreAway;
        fleet.reserve(vm, id, 100'000, 300, [&](Reservation answer) { result = answer; });
        fleet.timers.run(Milliseconds(100));
        EXPECT_EQ(result, Reservation::Granted);
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
        fleet.reserve(vm, id, Budget, Most, [&, vm, id, tokens](Reservation answer) {
            if (answer == Reservation::Granted) {
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

} // namespace boragepath
