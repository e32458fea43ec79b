#include "operators/arguments.h"

#include <docopt/docopt.h>

namespace boragepath {

namespace {

constexpr const char *Usage = R"(boragepath - operate a boragepath deployment

Usage:
  boragepath [options] catalogue apply FILE [--dry-run] [--base REVISION]
  boragepath [options] catalogue show
  boragepath [options] catalogue diff FILE
  boragepath [options] catalogue status
  boragepath [options] programs
  boragepath [options] explain ENTRY PROGRAM
  boragepath explain --log LOG ID
  boragepath [options] intents list
  boragepath [options] intents resolve ENTRY PROGRAM CALL OUTCOME
  boragepath [options] budgets
  boragepath [options] report burn
  boragepath [options] vms
  boragepath [options] drain
  boragepath [options] log-level LEVEL
  boragepath (-h | --help)

Options:
  --daemon ADDRESS  Address and port of any daemon [default: 127.0.0.11:7001].
  --key-file FILE   File with the operator key [default: operator.key].
  --tls             Connect with TLS.
  --json            Print the answer as JSON.
  --dry-run         Show what would change without changing it.
  --log LOG         File with the log lines of all VMs, or - for standard input.
  --base REVISION   Refuse the edit unless the catalogue is at this revision.
  -h --help         Show this text.

explain --log reports the outcome of a request, or of all requests of a program, and
its cause; it needs no daemon. OUTCOME is ran or not-run. drain begins a planned stop of
the daemon at ADDRESS. Exit codes: 0 done, 1 failed, 2 bad arguments, 3 conflict with
another edit, 4 the daemon cannot be reached.
)";

} // namespace

CommandLine parseArguments(const std::vector<std::string> &words)
{
    const auto arguments = docopt::docopt(Usage, words, true, "boragepath");
    CommandLine command;
    command.daemon = arguments.at("--daemon").asString();
    command.keyFile = arguments.at("--key-file").asString();
    command.useTls = arguments.at("--tls").asBool();
    command.json = arguments.at("--json").asBool();
    for (const char *word : {"catalogue", "programs", "explain", "intents", "budgets", "report",
                             "vms", "drain", "log-level"}) {
        if (arguments.at(word).asBool()) {
            command.subject = word;
        }
    }
    for (const char *word : {"apply", "show", "diff", "status", "list", "resolve", "burn"}) {
        if (arguments.at(word).asBool()) {
            command.verb = word;
        }
    }
    const auto textOf = [&](const char *name) {
        const docopt::value &value = arguments.at(name);
        return value.isString() ? value.asString() : std::string();
    };
    command.file = textOf("FILE");
    command.dryRun = arguments.at("--dry-run").asBool();
    command.base = textOf("--base");
    command.logFile = textOf("--log");
    command.id = textOf("ID");
    command.entry = textOf("ENTRY");
    command.program = textOf("PROGRAM");
    command.call = textOf("CALL");
    command.outcome = textOf("OUTCOME");
    command.level = textOf("LEVEL");
    return command;
}

} // namespace boragepath
