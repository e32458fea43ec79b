// Stand-ins for the platform and the backend servers of one deployment.

#include "core/settings.h"
#include "standin/standin_servers.h"

#include <docopt/docopt.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <exception>
#include <iostream>

namespace {

constexpr const char *Usage =
    R"(boragepath-standin - stand-ins for the platform and the backend servers

Serves the table service and every replica that the settings name, each on its
own address. Faults are set by POST /fault on the control address, for example
/fault?target=table&kind=outage&duration_ms=3000 (kinds: outage, slow, lose,
hang, leave, return, die); GET /statistics shows counters.

Usage:
  boragepath-standin --settings FILE --control ADDRESS [options]
  boragepath-standin (-h | --help)

Options:
  --settings FILE           Settings of any daemon of the deployment.
  --control ADDRESS         Address and port of the control interface.
  --step-base-us N          Engine step, fixed part [default: 8000].
  --step-per-sequence-us N  Engine step, for each sequence [default: 250].
  --prefill-ns-per-token N  Engine prefill, for each token [default: 50000].
  --kv-blocks N             Blocks of 16 tokens in an engine's memory [default: 4000].
  --service-ms N            Duration of a plain service's call [default: 20].
  -h --help                 Show this text.
)";

constexpr int ExitFailure = 1;
constexpr int ExitBadSettings = 2;

} // namespace

int main(int argc, char **argv)
{
    const auto arguments =
        docopt::docopt(Usage, {argv + 1, argv + argc}, true, "boragepath-standin");
    const auto settings = boragepath::loadSettings(arguments.at("--settings").asString());
    const auto control = boragepath::parseEndpoint(arguments.at("--control").asString());
    if (!settings.ok() || !control.ok()) {
        std::cerr << (settings.ok() ? control.status() : settings.status()).message() << "\n";
        return ExitBadSettings;
    }
    try {
        boragepath::StandinServers::Config config;
        config.control = *control;
        config.costs.base = std::chrono::microseconds(arguments.at("--step-base-us").asLong());
        config.costs.perSequence =
            std::chrono::microseconds(arguments.at("--step-per-sequence-us").asLong());
        config.costs.prefillPerToken =
            std::chrono::nanoseconds(arguments.at("--prefill-ns-per-token").asLong());
        config.costs.kvBlocks = arguments.at("--kv-blocks").asLong();
        config.serviceDuration = boragepath::Milliseconds(arguments.at("--service-ms").asLong());
        boost::asio::io_context context(1);
        boragepath::StandinServers standin(context, *settings, config);
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
        context.run();
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << "\n";
        return ExitFailure;
    }
    return 0;
}
