#pragma once

#include "control/budget_grants.h"
#include "control/outage/budget_lenders.h"
#include "control/outage/budget_split.h"
#include "control/program_ledger.h"
#include "tests/support/memory_row_store.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

// VMs that reserve and lend the budgets of programs, in simulated time.

namespace boragepath {

inline constexpr std::int64_t Budget = 1'800;
inline constexpr std::int64_t MaxTurnTokens = 600;
inline constexpr Milliseconds StoreTimeout{400};
inline constexpr Milliseconds GossipInterval{300};
inline constexpr Milliseconds DatagramDelay{2};
/** All VMs see a change of the lenders within this time. */
inline constexpr Seconds FeedTime{5};

/** The store as one VM reaches it, or doesn't. */
class VmStore final : public RowStore
{
public:
    VmStore(ManualTimers &timers, RowStore &store, StoreHealth &health)
        : m_timers(timers)
        , m_store(store)
        , m_health(health)
    { }

    void transact(RowTransaction transaction,
                  std::function<void(const TransactionResult &)> done) override
    {
        if (isAway) {
            failLater<TransactionResult>(std::move(done));
            return;
        }
        m_store.transact(std::move(transaction), answering<TransactionResult>(std::move(done)));
    }
    void read(RowRange range, std::function<void(const ReadResult &)> done) override
    {
        if (isAway) {
            failLater<ReadResult>(std::move(done));
            return;
        }
        m_store.read(std::move(range), answering<ReadResult>(std::move(done)));
    }
    void feed(FeedRequest request, std::function<void(const ReadResult &)> done) override
    {
        if (isAway) {
            failLater<ReadResult>(std::move(done));
            return;
        }
        m_store.feed(std::move(request), answering<ReadResult>(std::move(done)));
    }

    bool isAway = false;
    /** The process has ended: it gets no answers any more. */
    bool hasEnded = false;

private:
    template <typename Result>
    std::function<void(const Result &)> answering(std::function<void(const Result &)> done)
    {
        return [this, done = std::move(done)](const Result &result) {
            if (hasEnded) {
                return;
            }
            if (result.answer == StoreAnswer::Unknown) {
                m_health.noteTimeout();
            } else {
                m_health.noteAnswer();
            }
            done(result);
        };
    }
    template <typename Result> void failLater(std::function<void(const Result &)> done)
    {
        m_timers.after(StoreTimeout,
                       [answer = answering<Result>(std::move(done))] { answer(Result()); });
    }

    ManualTimers &m_timers;
    RowStore &m_store;
    StoreHealth &m_health;
};

inline VmEntry vmEntry(std::size_t number, std::int64_t incarnation)
{
    VmEntry entry;
    entry.vm = VmId(absl::StrCat("vm-", number));
    entry.front = {"10.0.0.1", static_cast<std::uint16_t>(1'000 + number)};
    entry.peers = {"10.0.0.1", static_cast<std::uint16_t>(2'000 + number)};
    entry.incarnation = incarnation;
    entry.starting = false;
    return entry;
}

/** One incarnation of a VM, as far as budgets are concerned. */
struct LendingVm
{
    LendingVm(ManualClock &clock, ManualTimers &timers, MemoryRowStore &rows, VmEntry self,
              bool isFirstStart, LendingRights::Send send, std::uint64_t seed)
        : health(clock)
        , store(timers, rows, health)
        , vms(clock, self, seed)
        , ledger(clock, timers, store, health, seed)
        , lenders(clock, timers, store, vms, isFirstStart, std::move(send),
                  {[this] { return grants.hasLoans() || ledger.isSettlingLoans(); },
                   [this] { grants.onLendingGranted(); }},
                  seed)
        , grants(clock, timers, ledger, health, incarnationName(self))
    {
        ledger.setAuthority(
            [this](const ProgramId &program) { return lenders.authorityOver(program); });
        ledger.setTenureLog([this](const ProgramId &program, LogLine &line) {
            lenders.describeTenure(program, line);
        });
        grants.setLenders(lenders);
        lenders.start();
    }

    StoreHealth health;
    VmStore store;
    VmDirectory vms;
    ProgramLedger ledger;
    BudgetLenders lenders;
    BudgetGrants grants;
};

/** VMs that share a store and hear of each other, in simulated time. */
class LendingFleet
{
public:
    /**
     * @param startTime time that passes after the start of all VMs.
     * @param zones number of availability zones, which get the VMs in turn.
     */
    explicit LendingFleet(std::size_t vms, std::uint64_t seed = 5,
                          Duration startTime = FeedTime * 2, std::size_t zones = 1)
        : store(timers, seed)
        , m_seed(seed)
        , m_zones(zones)
    {
        for (std::size_t number = 0; number < vms; ++number) {
            m_vms.push_back(makeVm(number, true));
        }
        gossip();
        timers.run(startTime);
    }

    LendingVm &vm(std::size_t number) { return *m_vms[number]; }
    std::size_t size() const { return m_vms.size(); }

    /** The VM that may reserve the whole budget of a program. */
    std::size_t lenderOf(const std::string &program) const
    {
        const auto found = std::find_if(m_vms.begin(), m_vms.end(), [&](const auto &vm) {
            return vm->lenders.hasFullAuthority(ProgramId(program));
        });
        return static_cast<std::size_t>(found - m_vms.begin());
    }

    /** The live lender of a program, whatever it knows of the lenders before it. */
    std::size_t currentLenderOf(const std::string &program) const
    {
        const auto found = std::find_if(m_vms.begin(), m_vms.end(), [&](const auto &vm) {
            return vm->lenders.authorityOver(ProgramId(program)) != BudgetAuthority::Restricted;
        });
        return static_cast<std::size_t>(found - m_vms.begin());
    }

    /** The result of a reservation after @p time; none if there is none yet. */
    std::optional<ReservationResult> reserve(std::size_t vm, const std::string &program,
                                             Duration time = Milliseconds(200),
                                             bool isStored = false)
    {
        const auto result = std::make_shared<std::optional<ReservationResult>>();
        lastTurn = AttemptId(absl::StrCat("turn-", m_turns++));
        ReservationRequest request{ProgramId(program), lastTurn, Budget, MaxTurnTokens};
        request.mayBorrow = !isStored;
        m_vms[vm]->grants.reserve(request, clock.now() + Seconds(1),
                                  [this, result, program](ReservationResult answer) {
                                      *result = answer;
                                      const bool runs = answer == ReservationResult::Granted;
                                      grantedTokens[program] += runs ? MaxTurnTokens : 0;
                                  });
        timers.run(time);
        return *result;
    }

    /** The same for a turn that the store keeps. */
    std::optional<ReservationResult> reserveStored(std::size_t vm, const std::string &program,
                                                   Duration time = Milliseconds(200))
    {
        return reserve(vm, program, time, true);
    }

    /** From now on a route in force stores turns; the lenders' promises are in the store. */
    void storeTurns()
    {
        m_storesTurns = true;
        for (const auto &vm : m_vms) {
            vm->lenders.storeTurns();
        }
        timers.run(Seconds(3));
    }

    void settle(std::size_t vm, const std::string &program, std::int64_t tokens)
    {
        m_vms[vm]->grants.settle({ProgramId(program), lastTurn, tokens});
    }

    void setStoreAway(bool away)
    {
        for (const auto &vm : m_vms) {
            vm->store.isAway = away;
        }
        timers.run(Seconds(2));
    }

    void crash(std::size_t vm)
    {
        m_vms[vm]->store.hasEnded = true;
        m_ended.push_back(std::move(m_vms[vm]));
        m_vms[vm] = makeVm(vm, false);
    }

    /** These VMs are killed at the same moment, and start again after @p downTime. */
    void crashTogether(const std::vector<std::size_t> &vms, Duration downTime)
    {
        for (const std::size_t vm : vms) {
            crash(vm);
            m_down.insert(m_vms[vm]->vms.self().vm);
            m_vms[vm]->store.isAway = true;
        }
        timers.run(downTime);
        for (const std::size_t vm : vms) {
            m_down.erase(m_vms[vm]->vms.self().vm);
            m_vms[vm]->store.isAway = false;
        }
    }

    /** A planned stop: the VM releases its partitions if it can, and ends. */
    void stop(std::size_t vm)
    {
        LendingVm &stopping = *m_vms[vm];
        stopping.vms.markLeaving();
        for (int check = 0; check < 60 && !stopping.lenders.isReleased(); ++check) {
            const bool isSettled =
                !stopping.grants.hasLoans() && !stopping.ledger.isSettlingLoans();
            if (isSettled && !stopping.health.unavailable()) {
                stopping.lenders.giveUp();
                if (!stopping.ledger.isReserving()) {
                    stopping.lenders.release(
                        stopping.grants.programsUsedSince(stopping.lenders.oldestRecentUse()));
                }
            }
            timers.run(Milliseconds(100));
        }
        crash(vm);
    }

    ProgramRecord record(const std::string &program) const
    {
        const auto found = store.rows().find(programRow(ProgramId(program)));
        return found == store.rows().end() ? ProgramRecord()
                                           : decodeProgramRecord(found->second.value).value();
    }

    ManualClock clock;
    ManualTimers timers{clock};
    MemoryRowStore store;
    /** VMs that exchange no messages with others. */
    std::set<VmId> cutOff;
    AttemptId lastTurn;
    /** What the turns of each program may have used at most. */
    std::map<std::string, std::int64_t> grantedTokens;

private:
    std::unique_ptr<LendingVm> makeVm(std::size_t number, bool isFirstStart)
    {
        m_incarnations += 1;
        VmEntry self = vmEntry(number, m_incarnations);
        self.zone = ZoneId(absl::StrCat("zone-", number % m_zones));
        auto vm = std::make_unique<LendingVm>(
            clock, timers, store, self, isFirstStart,
            [this, self](const Endpoint &to, const peers::LendingNote &note) {
                send(self, to, note);
            },
            m_seed + m_incarnations);
        if (m_storesTurns) {
            vm->lenders.storeTurns();
        }
        return vm;
    }

    bool isCut(const VmEntry &vm) const { return cutOff.contains(vm.vm) || m_down.contains(vm.vm); }

    /** The process of @p sender, if it is still there. */
    LendingVm *running(const VmEntry &sender) const
    {
        for (const auto &vm : m_vms) {
            if (vm != nullptr && incarnationName(vm->vms.self()) == incarnationName(sender)) {
                return vm.get();
            }
        }
        return nullptr;
    }

    void send(const VmEntry &sender, const Endpoint &to, const peers::LendingNote &note)
    {
        timers.after(DatagramDelay, [this, sender, to, note] {
            for (const auto &vm : m_vms) {
                const bool isLost = running(sender) == nullptr || vm == nullptr || isCut(sender)
                    || isCut(vm->vms.self());
                if (!isLost && vm->vms.self().peers == to) {
                    vm->lenders.receive(sender.peers, note);
                }
            }
        });
    }

    void gossip()
    {
        for (const auto &sender : m_vms) {
            for (const auto &receiver : m_vms) {
                if (!isCut(sender->vms.self()) && !isCut(receiver->vms.self())) {
                    receiver->vms.receive(sender->vms.ownNews());
                }
            }
        }
        timers.after(GossipInterval, [this] { gossip(); });
    }

    std::uint64_t m_seed;
    std::size_t m_zones;
    /** VMs that were killed and have not started again. */
    std::set<VmId> m_down;
    std::int64_t m_incarnations = 0;
    bool m_storesTurns = false;
    int m_turns = 0;
    std::vector<std::unique_ptr<LendingVm>> m_vms;
    /** Processes that have ended; their timers still refer to them. */
    std::vector<std::unique_ptr<LendingVm>> m_ended;
};

} // namespace boragepath
