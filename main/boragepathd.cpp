// The daemon of one entry VM.

#include "core/logging.h"
#include "core/settings.h"
#include "main/daemon.h"

#include <docopt/docopt.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <random>
#include <thread>

namespace {

constexpr const char *Usage = R"(boragepathd - the boragepath daemon of one entry VM

Usage:
  boragepathd --settings FILE [--check-settings]
  boragepathd (-h | --help)

Options:
  --settings FILE   Settings, JSON with comments.
  --check-settings  Check the settings and end.
  -h --help         Show this text.

SIGTERM and SIGINT begin a planned stop: work in flight is finished first.
)";

constexpr int ExitFailure = 1;
constexpr int ExitBadSettings = 2;

int runDaemon(const boragepath::Settings &settings)
{
    std::random_device random;
    const std::uint64_t seed = (static_cast<std::uint64_t>(random()) << 32U) | random();
    boragepath::Daemon daemon(settings, seed);
    boost::asio::io_context signalContext;
    boost::asio::signal_set signals(signalContext, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &error, int) {
        if (!error) {
            daemon.stop();
        }
    });
    std::thread signalThread([&] { signalContext.run(); });
    boragepath::LogLine("started").add("callers", settings.callers.text()).info();
    daemon.run();
    boragepath::LogLine("stopped").info();
    signalContext.stop();
    signalThread.join();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc}, true, "boragepathd");
    const auto settings = boragepath::loadSettings(arguments.at("--settings").asString());
    if (!settings.ok()) {
        std::cerr << settings.status().message() << "\n";
        return ExitBadSettings;
    }
    if (arguments.at("--check-settings").asBool()) {
        std::cout << "the settings are good\n";
        return 0;
    }
    boragepath::initLogging(settings->logLevel);
    boragepath::setLogSource(settings->vm.value());
    try {
        return runDaemon(*settings);
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << "\n";
        return ExitFailure;
    }
}
