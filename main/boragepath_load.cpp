// Runs programs against a deployment, measures them and checks the promises.

#include "load/comparison.h"
#include "load/demo.h"
#include "load/experiment.h"

#include <docopt/docopt.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <absl/strings/str_split.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

constexpr const char *Usage = R"(boragepath-load - load and experiment tool

Usage:
  boragepath-load demo --daemons LIST --standin ADDRESS --operator-key KEY
  boragepath-load run --daemons LIST --standin ADDRESS --operator-key KEY --out FILE [options]
  boragepath-load compare --out FOLDER FILE...
  boragepath-load (-h | --help)

Options:
  --daemons LIST      Addresses of daemons, separated by commas.
  --standin ADDRESS   Control address of the stand-in.
  --operator-key KEY  The deployment's operator key.
  --out PLACE         Result file, or folder for a comparison.
  --label NAME        Name of the run, usually the policy [default: run].
  --mix NAME          registry or spa [default: registry].
  --rate N            Programs a second [default: 5].
  --seconds N         Time of arrivals [default: 20].
  --drain N           Seconds after the last arrival to finish in [default: 30].
  --seed N            Seed of the workload [default: 1].
  --events FILE       Times of injected faults, a line each: unix milliseconds and name.
  -h --help           Show this text.

run ends with 1 if a promise was broken. compare reads the results of runs and
writes summary.json and chart.svg.
)";

constexpr int ExitBroken = 1;
constexpr int ExitBadArguments = 2;

using Arguments = std::map<std::string, docopt::value>;

bool readEndpoints(const std::string &list, std::vector<boragepath::Endpoint> &endpoints)
{
    const std::vector<std::string> parts = absl::StrSplit(list, ',');
    for (const std::string &part : parts) {
        const auto endpoint = boragepath::parseEndpoint(part);
        if (!endpoint.ok()) {
            std::cerr << endpoint.status().message() << "\n";
            return false;
        }
        endpoints.push_back(*endpoint);
    }
    return true;
}

int demo(const Arguments &arguments)
{
    boragepath::DemoTarget target;
    std::vector<boragepath::Endpoint> standin;
    if (!readEndpoints(arguments.at("--daemons").asString(), target.daemons)
        || !readEndpoints(arguments.at("--standin").asString(), standin)) {
        return ExitBadArguments;
    }
    target.standinControl = standin.front();
    target.operatorKey = arguments.at("--operator-key").asString();
    boost::asio::io_context context(1);
    bool good = false;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> { good = co_await boragepath::runDemo(target); },
        boost::asio::detached);
    context.run();
    return good ? 0 : ExitBroken;
}

int run(const Arguments &arguments)
{
    boragepath::Experiment experiment;
    std::vector<boragepath::Endpoint> standin;
    if (!readEndpoints(arguments.at("--daemons").asString(), experiment.daemons)
        || !readEndpoints(arguments.at("--standin").asString(), standin)) {
        return ExitBadArguments;
    }
    experiment.standinControl = standin.front();
    experiment.operatorKey = arguments.at("--operator-key").asString();
    experiment.label = arguments.at("--label").asString();
    experiment.mix = arguments.at("--mix").asString();
    if (!boragepath::isKnownMix(experiment.mix)) {
        std::cerr << "--mix: must be registry or spa\n";
        return ExitBadArguments;
    }
    experiment.programsPerSecond = std::stod(arguments.at("--rate").asString());
    experiment.duration = boragepath::Seconds(arguments.at("--seconds").asLong());
    experiment.drainTime = boragepath::Seconds(arguments.at("--drain").asLong());
    experiment.seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
    if (arguments.at("--events").isString()) {
        experiment.eventsFile = arguments.at("--events").asString();
    }
    boost::asio::io_context context(1);
    boost::json::object result;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            result = co_await boragepath::runExperiment(experiment);
            context.stop();
        },
        boost::asio::detached);
    context.run();
    std::ofstream(arguments.at("--out").asString()) << boost::json::serialize(result) << "\n";
    if (result.contains("error")) {
        std::cerr << boost::json::serialize(result.at("error")) << "\n";
        return ExitBroken;
    }
    std::cout << boragepath::formatResultTable({result});
    for (const boost::json::value &line : result.at("violation_list").get_array()) {
        std::cout << "BROKEN: " << line.get_string().c_str() << "\n";
    }
    return result.at("violations").to_number<int>() == 0 ? 0 : ExitBroken;
}

int compare(const Arguments &arguments)
{
    std::vector<boost::json::object> runs;
    for (const std::string &name : arguments.at("FILE").asStringList()) {
        std::ifstream file(name);
        std::ostringstream text;
        text << file.rdbuf();
        boost::json::error_code error;
        const boost::json::value value = boost::json::parse(text.str(), error);
        if (error || !value.is_object() || value.get_object().contains("error")) {
            std::cerr << name << ": holds no result\n";
            return ExitBadArguments;
        }
        runs.push_back(value.get_object());
    }
    const std::string folder = arguments.at("--out").asString();
    const boost::json::object summary = boragepath::summarizeRuns(runs);
    std::ofstream(folder + "/summary.json") << boost::json::serialize(summary) << "\n";
    std::ofstream(folder + "/chart.svg") << boragepath::renderLatencyChart(runs);
    std::cout << boragepath::formatResultTable(runs);
    return summary.at("violations").to_number<int>() == 0 ? 0 : ExitBroken;
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc}, true, "boragepath-load");
    if (arguments.at("demo").asBool()) {
        return demo(arguments);
    }
    return arguments.at("run").asBool() ? run(arguments) : compare(arguments);
}
