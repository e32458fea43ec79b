// A randomized soak test: runs real daemon processes against simulated services and callers,
// injects faults from outside, and checks the guarantees given to callers.

#include "net/sleep.h"
#include "soak/callers.h"
#include "soak/fault_injector.h"
#include "soak/fleet.h"
#include "soak/invariant_checker.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <docopt/docopt.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace {

using namespace boragepath;
using namespace boragepath::soak;
namespace asio = boost::asio;

constexpr const char *Usage =
    R"(boragepath-soak - injects faults into a deployment and checks its promises

Usage:
  boragepath-soak --daemon PROGRAM --folder FOLDER [options]
  boragepath-soak (-h | --help)

Options:
  --daemon PROGRAM   Executable of the platform daemon.
  --folder FOLDER    Existing folder for settings and logs of the VMs.
  --seed N           Seed of the random faults and programs [default: 1].
  --seconds N        How long faults are injected [default: 60].
  --vms N            Number of VMs [default: 5].
  --replicas N       Number of model replicas; half as many run a plain service [default: 6].
  --programs N       Programs started per second [default: 8].
  --network N        Second octet of the loopback addresses, 1 to 250 [default: 77].
  --planned          Does planned work alone, in series: stops, reloads, configurations, replicas.
  --power-loss       Kills all VMs, or several, at the same moment with calm around it.
  --organisations    Callers belong to organisations with API keys and quotas, which change.
  -h --help          Show this text.

Exit codes: 0 all promises were kept, 1 one was broken, 2 the deployment did not recover,
3 interrupted by a signal.
)";

constexpr int ExitViolation = 1;
constexpr int ExitNotRecovered = 2;
constexpr int ExitInterrupted = 3;
constexpr std::uint16_t StorePort = 8'142;
constexpr std::uint16_t StoreLinkPort = 8'200;
constexpr std::uint16_t ReplicaPort = 8'500;
constexpr std::uint16_t ReplicaLinkPort = 8'700;
constexpr Milliseconds StartupTime{1'500};
/**
 * Time after the last fault for failure detection, for VMs to notice that the store is available
 * again, and for callers to refresh cached addresses.
 */
constexpr Milliseconds RecoveryTime{12'000};
/** The same after planned work or a loss of power, which end with all VMs in service. */
constexpr Milliseconds CalmRecoveryTime{1'000};
constexpr int MaxProbeAttempts = 40;
constexpr Milliseconds ProbeInterval{500};
constexpr Milliseconds LateRunWindow{4'000};

struct Options
{
    std::string daemon;
    std::string folder;
    std::uint64_t seed = 1;
    Seconds duration{60};
    std::size_t vms = 5;
    std::size_t replicas = 6;
    double programsPerSecond = 8;
    int network = 77;
    bool organisations = false;
    bool planned = false;
    bool powerLoss = false;
};

std::string loopbackAddress(const Options &options, std::size_t host)
{
    return absl::StrCat("127.", options.network, ".0.", host);
}

std::vector<VmConfig> vmConfigsOf(const Options &options)
{
    std::vector<VmConfig> configs;
    for (std::size_t vm = 0; vm < options.vms; ++vm) {
        VmConfig config;
        config.name = absl::StrCat("vm-", vm);
        config.address = loopbackAddress(options, 10 + vm);
        config.settings = options.organisations ? organisationSettings() : "";
        config.store = {loopbackAddress(options, 1),
                        static_cast<std::uint16_t>(StoreLinkPort + vm)};
        for (std::size_t seed = 0; seed < std::min<std::size_t>(3, options.vms); ++seed) {
            config.seeds.push_back(loopbackAddress(options, 10 + seed));
        }
        configs.push_back(std::move(config));
    }
    return configs;
}

ReplicaSite makeReplicaSite(Deployment &deployment, const Options &options, std::size_t index,
                            const char *service)
{
    ReplicaSite site;
    site.service = service;
    site.realEndpoint = {loopbackAddress(options, 2),
                         static_cast<std::uint16_t>(ReplicaPort + index)};
    site.linkEndpoint = {loopbackAddress(options, 2),
                         static_cast<std::uint16_t>(ReplicaLinkPort + index)};
    site.link =
        std::make_unique<LinkProxy>(deployment.context, site.linkEndpoint, site.realEndpoint);
    return site;
}

/** Probes every VM until it serves a turn and a tool call; false if one never does. */
asio::awaitable<bool> waitForRecovery(Deployment &deployment, Callers &callers)
{
    for (std::size_t vm = 0; vm < deployment.fleet.size(); ++vm) {
        bool served = false;
        for (int attemptCount = 0; !served && attemptCount < MaxProbeAttempts; ++attemptCount) {
            served = co_await callers.probe(deployment.fleet.frontEndpoint(vm));
            if (!served) {
                co_await sleepFor(ProbeInterval);
            }
        }
        if (!served) {
            std::cout << "VM " << vm << " did not recover: probe calls fail\n";
            co_return false;
        }
    }
    co_return true;
}

struct Outcome
{
    bool done = false;
    bool recovered = false;
    bool interrupted = false;
};

asio::awaitable<void> injectFaults(const Options &options, FaultInjector &faultInjector)
{
    if (options.planned) {
        co_await faultInjector.runPlannedWork(options.duration);
    } else if (options.powerLoss) {
        co_await faultInjector.runPowerLosses(options.duration);
    } else {
        co_await faultInjector.run(options.duration);
    }
}

asio::awaitable<void> runScenario(const Options &options, Deployment &deployment, Callers &callers,
                                  FaultInjector &faultInjector, Outcome &outcome)
{
    for (std::size_t vm = 0; vm < deployment.fleet.size(); ++vm) {
        deployment.fleet.start(vm);
    }
    co_await sleepFor(StartupTime);
    const bool crashes = !options.planned && !options.powerLoss;
    callers.start(options.programsPerSecond, crashes);
    co_await injectFaults(options, faultInjector);
    for (std::size_t vm = 0; vm < deployment.fleet.size(); ++vm) {
        deployment.fleet.signal(vm, SIGCONT);
        deployment.fleet.start(vm);
    }
    co_await sleepFor(crashes ? RecoveryTime : CalmRecoveryTime);
    callers.stop();
    outcome.recovered = co_await waitForRecovery(deployment, callers);
    // Refused requests must not run later either; wait to detect those that do.
    co_await sleepFor(LateRunWindow);
    outcome.done = true;
}

int report(const Options &options, const InvariantChecker &checker,
           const FaultInjector &faultInjector, const Callers &callers, Fleet &fleet,
           const Outcome &outcome)
{
    std::cout << "seed " << options.seed << ", " << options.vms << " VMs, "
              << options.duration.count() << " s, " << faultInjector.history().size() << " faults, "
              << callers.finishedPrograms() << " programs finished\n";
    for (const auto &[counter, count] : checker.counts()) {
        std::cout << "  " << counter << ": " << count << "\n";
    }
    std::cout << "  unexpected process exits: " << fleet.unexpectedExits() << "\n";
    const bool violated = !checker.violations().empty() || fleet.unexpectedExits() > 0;
    if (violated || !outcome.recovered) {
        for (const std::string &line : faultInjector.history()) {
            std::cout << "  " << line << "\n";
        }
    }
    for (const std::string &line : checker.violations()) {
        std::cout << "BROKEN " << line << "\n";
    }
    std::cout << (violated                ? "a promise was broken\n"
                      : outcome.recovered ? "all promises were kept\n"
                                          : "the deployment did not recover\n");
    return violated ? ExitViolation : outcome.recovered ? 0 : ExitNotRecovered;
}

/** Reports files of the VMs and rows of the store that contain an API key. */
void checkForKeys(const Options &options, const RowTable &table, InvariantChecker &checker)
{
    for (const auto &file : std::filesystem::directory_iterator(options.folder)) {
        std::ifstream stream(file.path());
        const std::string text{std::istreambuf_iterator<char>(stream), {}};
        checker.checkHasNoKey(file.path().filename().string(), text);
    }
    for (const auto &[name, row] : table.rows()) {
        if (name.table != "op" || name.key != "config") {
            checker.checkHasNoKey(absl::StrCat("row ", name.table, "/", name.key),
                                  absl::StrCat(name.partition, name.key, row.value));
        }
    }
}

int runSoak(const Options &options)
{
    const SystemClock clock;
    asio::io_context context(1);
    InvariantChecker checker(clock);
    RowServer store(context, {loopbackAddress(options, 1), StorePort}, options.seed);
    Fleet fleet(options.daemon, options.folder, vmConfigsOf(options));
    Deployment deployment{
        context,
        fleet,
        store,
        {},
        {},
        [&](const HttpRequest &request, const std::string &replica) {
            checker.recordRun(request, replica);
        },
        [&](const std::string &replica, std::size_t site) {
            checker.recordReplicaStart(replica);
            checker.faults().recordReplicaStart(replica, site);
        },
        [&](const HttpRequest &request, const std::string &replica, bool brokeOff) {
            checker.recordRunEnd(request, replica, brokeOff);
        },
        [&](std::size_t site, bool begins) {
            checker.faults().recordSite(site, begins, clock.now());
        },
        [&] { checker.faults().recordPowerLoss(clock.now()); },
        [] {},
        [&](const std::string &replica, std::optional<double> limit) {
            checker.recordLimit(replica, limit);
        },
        [](const std::string &) {},
        [&](std::optional<std::size_t> vm, bool begins) {
            const std::optional<Endpoint> front =
                vm.has_value() ? std::optional(fleet.frontEndpoint(*vm)) : std::nullopt;
            checker.recordStoreDisruption(front, begins);
            checker.faults().recordStore(front, begins, clock.now());
        },
        [&](const HttpRequest &request, const std::string &replica) {
            checker.recordReceived(request, replica);
        },
        [&](const std::vector<OrganisationEntry> &entries) {
            checker.recordConfiguration(entries);
            checker.faults().recordConfiguration(clock.now());
        },
        options.organisations ? makeOrganisations(options.seed) : std::vector<SoakOrganisation>(),
        0,
        1,
        options.seed};
    fleet.onEvent([&](std::size_t vm, VmEvent event) {
        checker.faults().recordVm(fleet.frontEndpoint(vm), event, clock.now());
        if (event != VmEvent::ToldToReload) {
            checker.recordVmDisruption(fleet.frontEndpoint(vm), event == VmEvent::Paused);
        }
    });
    std::vector<Endpoint> directoryEndpoints;
    for (std::size_t vm = 0; vm < options.vms; ++vm) {
        const Endpoint link{loopbackAddress(options, 1),
                            static_cast<std::uint16_t>(StoreLinkPort + vm)};
        deployment.storeLinks.push_back(std::make_unique<LinkProxy>(
            context, link, Endpoint{loopbackAddress(options, 1), StorePort}));
        directoryEndpoints.push_back(fleet.directoryEndpoint(vm));
    }
    const std::size_t services = std::max<std::size_t>(2, options.replicas / 2);
    // Replicas refer to their sites.
    deployment.replicas.reserve(options.replicas + services);
    for (std::size_t index = 0; index < options.replicas + services; ++index) {
        const char *service = index < options.replicas ? "engine" : "app";
        deployment.replicas.push_back(makeReplicaSite(deployment, options, index, service));
        startReplica(deployment, index, {newReplicaId(deployment), "v1"});
    }
    checker.faults().recordTurnSlots(options.replicas * PlatformReplica::Slots);
    writeConfiguration(deployment);
    Outcome outcome;
    Callers callers(context, clock, checker, directoryEndpoints, deployment.organisations,
                    options.seed + 1);
    deployment.onRecovered = [&] { callers.continueConversations(); };
    FaultInjector faultInjector(deployment, options.seed);
    asio::co_spawn(context, renewRegistrations(deployment, outcome.done), asio::detached);
    asio::co_spawn(context, runScenario(options, deployment, callers, faultInjector, outcome),
                   [&](const std::exception_ptr &failure) {
                       if (failure) {
                           std::rethrow_exception(failure);
                       }
                   });
    // Stops the daemons also when the soak is interrupted; they must not outlive it.
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code &error, int) {
        outcome.interrupted = outcome.interrupted || !error;
    });
    while (!outcome.done && !outcome.interrupted) {
        context.run_one();
    }
    checker.finish();
    checkForKeys(options, store.table(), checker);
    const int exitCode = report(options, checker, faultInjector, callers, fleet, outcome);
    return outcome.interrupted ? ExitInterrupted : exitCode;
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc}, true, "boragepath-soak");
    const auto integerOption = [&](const char *name) { return arguments.at(name).asLong(); };
    Options options;
    options.daemon = std::filesystem::absolute(arguments.at("--daemon").asString()).string();
    options.folder = std::filesystem::absolute(arguments.at("--folder").asString()).string();
    options.seed = static_cast<std::uint64_t>(integerOption("--seed"));
    options.duration = Seconds(integerOption("--seconds"));
    options.vms = static_cast<std::size_t>(integerOption("--vms"));
    options.replicas = static_cast<std::size_t>(integerOption("--replicas"));
    options.programsPerSecond = static_cast<double>(integerOption("--programs"));
    options.organisations = arguments.at("--organisations").asBool();
    options.planned = arguments.at("--planned").asBool();
    options.powerLoss = arguments.at("--power-loss").asBool();
    options.network = static_cast<int>(integerOption("--network"));
    return runSoak(options);
}
