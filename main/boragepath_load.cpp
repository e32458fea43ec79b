// Runs programs against a deployment, measures them and checks the promises.

#include "load/demo.h"

#include <docopt/docopt.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <absl/strings/str_split.h>

#include <iostream>

namespace {

constexpr const char *Usage = R"(boragepath-load - load and experiment tool

Usage:
  boragepath-load demo --daemons LIST --standin ADDRESS --operator-key KEY
  boragepath-load (-h | --help)

Options:
  --daemons LIST      Addresses of daemons, separated by commas.
  --standin ADDRESS   Control address of the stand-in.
  --operator-key KEY  The deployment's operator key.
  -h --help           Show this text.
)";

constexpr int ExitBroken = 1;
constexpr int ExitBadArguments = 2;

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

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc}, true, "boragepath-load");
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
