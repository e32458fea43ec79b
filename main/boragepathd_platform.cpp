// The daemon of one entry VM on the users' platform.

#include "core/logging.h"
#include "main/platform_daemon.h"

#include <docopt/docopt.h>

#include <exception>
#include <iostream>
#include <random>

namespace {

constexpr const char *Usage =
    R"(boragepathd-platform - the boragepath daemon of one VM on the users' platform

Usage:
  boragepathd-platform [--metrics-port PORT] [--log-level LEVEL]
  boragepathd-platform --check-settings
  boragepathd-platform (-h | --help)

Options:
  --metrics-port PORT  Serve /metrics on this port.
  --log-level LEVEL    info, warning, error or off [default: info].
  --check-settings     Check the settings file that the environment names, and end.
  -h --help            Show this text.

SIGTERM begins a planned stop: work in flight is finished first. SIGHUP reads the settings again.
)";

constexpr int ExitFailure = 1;
constexpr int ExitBadSettings = 2;

std::uint64_t randomSeed()
{
    std::random_device random;
    return (static_cast<std::uint64_t>(random()) << 32U) | random();
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments =
        docopt::docopt(Usage, {argv + 1, argv + argc}, true, "boragepathd-platform");
    const auto settings = boragepath::platform::loadNodeSettings();
    if (!settings.ok()) {
        std::cerr << settings.status().message() << "\n";
        return ExitBadSettings;
    }
    if (arguments.at("--check-settings").asBool()) {
        std::cout << "the settings are good\n";
        return 0;
    }
    std::optional<std::uint16_t> metricsPort;
    if (arguments.at("--metrics-port").isString()) {
        metricsPort = static_cast<std::uint16_t>(arguments.at("--metrics-port").asLong());
    }
    boragepath::initLogging(arguments.at("--log-level").asString());
    boragepath::setLogSource(settings->vm.value());
    try {
        boragepath::PlatformDaemon daemon(*settings, metricsPort, randomSeed());
        boragepath::LogLine("started").add("front", settings->front.text()).info();
        daemon.run();
    } catch (const std::exception &failure) {
        boragepath::LogLine("failed").add("cause", std::string(failure.what())).error();
        return ExitFailure;
    }
    return 0;
}
