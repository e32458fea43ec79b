// Token budgets of programs under random faults of VMs and the store: they are always kept.

#include "tests/support/lending_fleet.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <absl/strings/str_cat.h>

#include <random>
#include <string>
#include <vector>

namespace boragepath {

namespace {

/** Whether a program has stored turns and others. */
enum class TurnKinds { One, Both };

/**
 * A program that loops, on all VMs, while VMs crash, stop and lose the store, and the store loses
 * answers and applies writes late. Whichever condition of the lenders is left out, its budget is
 * exceeded for some seed.
 */
void playLoopingPrograms(std::uint64_t seed, TurnKinds turns)
{
    std::mt19937_64 random(seed);
    // Of three VMs each lends only while both others answer, of four while one of them is down.
    LendingFleet fleet(3 + random() % 2, seed);
    fleet.storeTurns();
    std::string program = "program-0";
    bool isStored = random() % 2 == 0;
    SteadyTime begunAt = fleet.clock.now();
    for (int step = 0; step < 60; ++step) {
        const std::size_t vm = random() % fleet.size();
        switch (random() % 14) {
        case 0:
            fleet.vm(vm).store.isAway = !fleet.vm(vm).store.isAway;
            break;
        case 1:
            fleet.setStoreAway(random() % 2 == 0);
            break;
        case 2:
            fleet.crash(vm);
            break;
        case 3:
            fleet.stop(vm);
            break;
        case 4:
            fleet.store.faults() =
                random() % 2 == 0 ? StoreFaults{} : StoreFaults{0.1, 0.2, 0.2, false};
            break;
        case 5:
            fleet.timers.run(Seconds(random() % 15));
            break;
        case 6:
            fleet.cutOff.clear();
            if (random() % 2 == 0) {
                fleet.cutOff.insert(fleet.vm(vm).vms.self().vm);
            }
            break;
        case 7: {
            // Several or all, at the same moment.
            std::vector<std::size_t> lost;
            const bool areAllLost = random() % 3 == 0;
            for (std::size_t other = 0; other < fleet.size(); ++other) {
                if (areAllLost || random() % 3 != 0) {
                    lost.push_back(other);
                }
            }
            fleet.crashTogether(lost, Milliseconds(random() % 2'000));
            break;
        }
        default:
            if (fleet.reserve(vm, program, Milliseconds(random() % 1'500),
                              turns == TurnKinds::Both ? random() % 2 == 0 : isStored)
                    == ReservationResult::Granted
                && random() % 4 != 0) {
                fleet.settle(vm, program, MaxTurnTokens);
            }
            break;
        }
        RC_ASSERT(fleet.grantedTokens[program] <= Budget + MaxTurnTokens);
        if (fleet.clock.now() > begunAt + Seconds(55)) {
            program = absl::StrCat("program-", step + 1);
            isStored = random() % 2 == 0;
            begunAt = fleet.clock.now();
        }
    }
}

} // namespace

RC_GTEST_PROP(BudgetLendingProperty, ABudgetIsKeptWhateverFails, (std::uint64_t seed))
{
    playLoopingPrograms(seed, TurnKinds::Both);
}

RC_GTEST_PROP(BudgetLendingProperty, ABudgetOfOneKindOfTurnsIsKeptWhateverFails,
              (std::uint64_t seed))
{
    playLoopingPrograms(seed, TurnKinds::One);
}

} // namespace boragepath
