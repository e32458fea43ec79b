// A randomized soak: real daemons as processes, stand-ins for all else, faults from outside.

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
#include <iostream>

namespace {

using namespace boragepath;
using namespace boragepath::soak;
namespace asio = boost::asio;

constexpr const char *Usage = R"(boragepath-soak - faults from outside, promises checked meanwhile

Usage:
  boragepath-soak --daemon PROGRAM --folder FOLDER [options]
  boragepath-soak (-h | --help)

Options:
  --daemon PROGRAM   The daemon for the platform.
  --folder FOLDER    For settings and logs of the VMs; must exist.
  --seed N           Draws troubles and programs [default: 1].
  --seconds N        How long troubles come [default: 60].
  --vms N            Number of VMs [default: 5].
  --replicas N       Number of engines; there are half as many plain services [default: 6].
  --programs N       Programs begun in a second [default: 8].
  --network N        Second number of the loopback addresses, 1 to 250 [default: 77].
  -h --help          Show this text.

Exit codes: 0 all promises were kept, 1 one was broken, 2 the deployment did not recover,
3 it was told to end.
)";

constexpr int ExitBroken = 1;
constexpr int ExitNotRecovered = 2;
constexpr int ExitInterrupted = 3;
constexpr std::uint16_t StorePort = 8'142;
constexpr std::uint16_t StoreLinkPort = 8'200;
constexpr std::uint16_t ReplicaPort = 8'500;
constexpr std::uint16_t ReplicaLinkPort = 8'700;
constexpr Milliseconds StartTime{1'500};
/** After the last trouble: detection, outages believed, addresses that callers keep. */
constexpr Milliseconds RecoveryTime{12'000};
constexpr int ProbeTries = 40;
constexpr Milliseconds ProbePause{500};
constexpr Milliseconds QuietTime{4'000};

struct Options
{
    std::string daemon;
    std::string folder;
    std::uint64_t seed = 1;
    Seconds span{60};
    std::size_t vms = 5;
    std::size_t replicas = 6;
    double programsPerSecond = 8;
    int network = 77;
};

std::string addressOf(const Options &options, std::size_t number)
{
    return absl::StrCat("127.", options.network, ".0.", number);
}

std::vector<VmPlace> placesOf(const Options &options)
{
    std::vector<VmPlace> places;
    for (std::size_t vm = 0; vm < options.vms; ++vm) {
        VmPlace place;
        place.name = absl::StrCat("vm-", vm);
        place.address = addressOf(options, 10 + vm);
        place.store = {addressOf(options, 1), static_cast<std::uint16_t>(StoreLinkPort + vm)};
        for (std::size_t seed = 0; seed < std::min<std::size_t>(3, options.vms); ++seed) {
            place.seeds.push_back(addressOf(options, 10 + seed));
        }
        places.push_back(std::move(place));
    }
    return places;
}

ReplicaSite siteOf(Deployment &deployment, const Options &options, std::size_t index,
                   const char *service)
{
    ReplicaSite site;
    site.service = service;
    site.realEndpoint = {addressOf(options, 2), static_cast<std::uint16_t>(ReplicaPort + index)};
    site.linkEndpoint = {addressOf(options, 2),
                         static_cast<std::uint16_t>(ReplicaLinkPort + index)};
    site.link =
        std::make_unique<LinkProxy>(deployment.context, site.linkEndpoint, site.realEndpoint);
    return site;
}

/** True once every VM serves a turn and a tool. */
asio::awaitable<bool> recovered(Deployment &deployment, Callers &callers)
{
    for (std::size_t vm = 0; vm < deployment.fleet.size(); ++vm) {
        bool served = false;
        for (int tries = 0; !served && tries < ProbeTries; ++tries) {
            served = co_await callers.probe(deployment.fleet.front(vm));
            if (!served) {
                co_await sleepFor(ProbePause);
            }
        }
        if (!served) {
            std::cout << "VM " << vm << " does not serve\n";
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

asio::awaitable<void> play(const Options &options, Deployment &deployment, Callers &callers,
                           Troubles &troubles, Outcome &outcome)
{
    for (std::size_t vm = 0; vm < deployment.fleet.size(); ++vm) {
        deployment.fleet.start(vm);
    }
    co_await sleepFor(StartTime);
    callers.start(options.programsPerSecond);
    co_await troubles.run(options.span);
    for (std::size_t vm = 0; vm < deployment.fleet.size(); ++vm) {
        deployment.fleet.signal(vm, SIGCONT);
        deployment.fleet.start(vm);
    }
    co_await sleepFor(RecoveryTime);
    callers.stop();
    outcome.recovered = co_await recovered(deployment, callers);
    // What was refused must not run later either.
    co_await sleepFor(QuietTime);
    outcome.done = true;
}

int report(const Options &options, const Witness &witness, const Troubles &troubles,
           const Callers &callers, Fleet &fleet, const Outcome &outcome)
{
    std::cout << "seed " << options.seed << ", " << options.vms << " VMs, " << options.span.count()
              << " s, " << troubles.history().size() << " troubles, " << callers.finished()
              << " programs to their end\n";
    for (const auto &[what, count] : witness.counts()) {
        std::cout << "  " << what << ": " << count << "\n";
    }
    std::cout << "  processes that ended by themselves: " << fleet.ownEnds() << "\n";
    const bool broken = !witness.brokenPromises().empty() || fleet.ownEnds() > 0;
    if (broken || !outcome.recovered) {
        for (const std::string &line : troubles.history()) {
            std::cout << "  " << line << "\n";
        }
    }
    for (const std::string &line : witness.brokenPromises()) {
        std::cout << "BROKEN " << line << "\n";
    }
    std::cout << (broken                  ? "a promise was broken\n"
                      : outcome.recovered ? "all promises were kept\n"
                                          : "it did not recover\n");
    return broken ? ExitBroken : outcome.recovered ? 0 : ExitNotRecovered;
}

int runSoak(const Options &options)
{
    const SystemClock clock;
    asio::io_context context(1);
    Witness witness(clock);
    RowServer store(context, {addressOf(options, 1), StorePort}, options.seed);
    Fleet fleet(options.daemon, options.folder, placesOf(options));
    Deployment deployment{context,
                          fleet,
                          store,
                          {},
                          {},
                          [&](const HttpRequest &request, const std::string &replica) {
                              witness.ran(request, replica);
                          },
                          0,
                          1,
                          options.seed};
    std::vector<Endpoint> directories;
    for (std::size_t vm = 0; vm < options.vms; ++vm) {
        const Endpoint link{addressOf(options, 1), static_cast<std::uint16_t>(StoreLinkPort + vm)};
        deployment.storeLinks.push_back(
            std::make_unique<LinkProxy>(context, link, Endpoint{addressOf(options, 1), StorePort}));
        directories.push_back(fleet.directory(vm));
    }
    const std::size_t services = std::max<std::size_t>(2, options.replicas / 2);
    for (std::size_t index = 0; index < options.replicas + services; ++index) {
        const char *service = index < options.replicas ? "engine" : "app";
        deployment.replicas.push_back(siteOf(deployment, options, index, service));
        startReplica(deployment, deployment.replicas.back());
    }
    writeConfiguration(deployment);
    Outcome outcome;
    Callers callers(context, witness, directories, options.seed + 1);
    Troubles troubles(deployment, options.seed);
    asio::co_spawn(context, keepRegistrations(deployment, outcome.done), asio::detached);
    asio::co_spawn(context, play(options, deployment, callers, troubles, outcome),
                   [&](const std::exception_ptr &failure) {
                       if (failure) {
                           std::rethrow_exception(failure);
                       }
                   });
    // The daemons must not outlive a soak that is told to end.
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code &error, int) {
        outcome.interrupted = outcome.interrupted || !error;
    });
    while (!outcome.done && !outcome.interrupted) {
        context.run_one();
    }
    witness.finish();
    const int exitCode = report(options, witness, troubles, callers, fleet, outcome);
    return outcome.interrupted ? ExitInterrupted : exitCode;
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc}, true, "boragepath-soak");
    const auto number = [&](const char *name) { return arguments.at(name).asLong(); };
    Options options;
    options.daemon = std::filesystem::absolute(arguments.at("--daemon").asString()).string();
    options.folder = std::filesystem::absolute(arguments.at("--folder").asString()).string();
    options.seed = static_cast<std::uint64_t>(number("--seed"));
    options.span = Seconds(number("--seconds"));
    options.vms = static_cast<std::size_t>(number("--vms"));
    options.replicas = static_cast<std::size_t>(number("--replicas"));
    options.programsPerSecond = static_cast<double>(number("--programs"));
    options.network = static_cast<int>(number("--network"));
    return runSoak(options);
}
