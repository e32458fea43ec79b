// Faults that come in series: planned work alone, and losses of power with calm around them.

#include "net/sleep.h"
#include "soak/fault_history.h"
#include "soak/fault_injector.h"
#include "soak/lost_checks.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>

namespace boragepath::soak {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds PollInterval{50};
/** A VM that was replaced serves for this long before the next one is stopped. */
constexpr Milliseconds MinPauseBetweenVms{500};
constexpr Milliseconds MaxPauseBetweenVms{3'500};
constexpr Milliseconds MinPauseBetweenSeries{300};
constexpr Milliseconds MaxPauseBetweenSeries{3'000};
constexpr Milliseconds MaxPauseInSeries{400};
constexpr std::size_t MaxChangesInSeries = 6;
constexpr std::size_t MaxVmsInSeries = 3;
constexpr Milliseconds MinPauseBetweenReplicas{2'000};
constexpr Milliseconds MaxPauseBetweenReplicas{5'000};
/** Programs get under way, and what they lend settles, before the power is lost. */
constexpr Milliseconds MinTimeBeforeLoss{5'000};
constexpr Milliseconds MaxTimeBeforeLoss{8'000};
constexpr Milliseconds MinLoss{200};
constexpr Milliseconds MaxLoss{2'000};
/** Calm from the moment at which callers go on with what they left. */
constexpr Seconds CalmAfterRecovery{13};

SteadyTime now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

void FaultInjector::spawn(asio::awaitable<void> task)
{
    m_activeFaults += 1;
    asio::co_spawn(m_deployment.context, std::move(task),
                   [this](const std::exception_ptr &failure) {
                       m_activeFaults -= 1;
                       if (failure) {
                           logEvent("a series of faults ended early");
                       }
                   });
}

asio::awaitable<void> FaultInjector::runPlannedWork(Duration duration)
{
    m_startedAt = now();
    const SteadyTime end = m_startedAt + duration;
    spawn(replaceVmsUntil(end));
    spawn(changeInSeriesUntil(end));
    spawn(replaceReplicasUntil(end));
    while (now() < end) {
        co_await sleepFor(PollInterval);
    }
    co_await waitForFaultsToEnd();
}

asio::awaitable<void> FaultInjector::runPowerLosses(Duration duration)
{
    m_startedAt = now();
    const SteadyTime end = m_startedAt + duration;
    while (now() < end) {
        co_await losePower();
    }
    co_await waitForFaultsToEnd();
}

asio::awaitable<void> FaultInjector::replaceVm(std::size_t vm)
{
    logEvent(absl::StrCat("SIGTERM to VM ", vm, ", then it is replaced"));
    m_deployment.fleet.signal(vm, SIGTERM);
    const SteadyTime killAt = now() + StopGrace;
    while (m_deployment.fleet.isRunning(vm) && now() < killAt) {
        co_await sleepFor(PollInterval);
    }
    // The platform kills a process that outlasts its grace.
    m_deployment.fleet.signal(vm, SIGKILL);
    co_await restartVm(vm);
}

asio::awaitable<void> FaultInjector::replaceSomeVms()
{
    const std::size_t first = randomIndex(m_deployment.fleet.size());
    const std::size_t count = 2 + randomIndex(MaxVmsInSeries - 1);
    for (std::size_t index = 0; index < count; ++index) {
        co_await replaceVm((first + index) % m_deployment.fleet.size());
        co_await sleepRandomly(MinPauseBetweenVms, MaxPauseBetweenVms);
    }
}

asio::awaitable<void> FaultInjector::replaceVmsUntil(SteadyTime end)
{
    std::size_t vm = randomIndex(m_deployment.fleet.size());
    co_await sleepFor(ContactTime);
    while (now() < end) {
        co_await replaceVm(vm);
        vm = (vm + 1) % m_deployment.fleet.size();
        co_await sleepRandomly(MinPauseBetweenVms, MaxPauseBetweenVms);
    }
}

void FaultInjector::reloadAnyVm()
{
    const std::size_t vm = randomIndex(m_deployment.fleet.size());
    logEvent(absl::StrCat("SIGHUP to VM ", vm));
    m_deployment.fleet.signal(vm, SIGHUP);
}

asio::awaitable<void> FaultInjector::changeInSeries()
{
    const std::size_t count = 1 + randomIndex(MaxChangesInSeries);
    for (std::size_t change = 0; change < count; ++change) {
        if (randomIndex(2) == 0) {
            reloadAnyVm();
        } else {
            logEvent("configuration changed");
            writeConfiguration(m_deployment);
        }
        co_await sleepRandomly(Milliseconds(0), MaxPauseInSeries);
    }
}

asio::awaitable<void> FaultInjector::changeInSeriesUntil(SteadyTime end)
{
    while (now() < end) {
        co_await sleepRandomly(MinPauseBetweenSeries, MaxPauseBetweenSeries);
        co_await changeInSeries();
    }
}

asio::awaitable<void> FaultInjector::replaceReplicasUntil(SteadyTime end)
{
    while (now() < end) {
        co_await sleepRandomly(MinPauseBetweenReplicas, MaxPauseBetweenReplicas);
        const Departure departure = randomDeparture();
        co_await replaceAnyReplica(departure);
    }
}

asio::awaitable<void> FaultInjector::losePower()
{
    co_await sleepRandomly(MinTimeBeforeLoss, MaxTimeBeforeLoss);
    const std::size_t size = m_deployment.fleet.size();
    const bool losesAll = randomIndex(3) != 0;
    const std::size_t count = losesAll ? size : std::max<std::size_t>(1, size * 2 / 3);
    const std::size_t first = randomIndex(size);
    logEvent(absl::StrCat(count, " of ", size, " VMs lose power from VM ", first, " on"));
    if (losesAll) {
        m_deployment.onPowerLoss();
    }
    for (std::size_t index = 0; index < count; ++index) {
        m_deployment.fleet.signal((first + index) % size, SIGKILL);
    }
    co_await sleepRandomly(MinLoss, MaxLoss);
    for (std::size_t index = 0; index < count; ++index) {
        co_await restartVm((first + index) % size);
    }
    logEvent("they are started again");
    co_await sleepFor(RecoveryBound);
    m_deployment.onRecovered();
    co_await sleepFor(CalmAfterRecovery);
}

} // namespace boragepath::soak
