#include "operators/command_line.h"

#include "core/settings.h"
#include "net/http_client.h"
#include "operators/request_explanation.h"
#include "operators/tables.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace boragepath {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Milliseconds RequestTimeout{10'000};
constexpr unsigned HttpOk = 200;
constexpr unsigned HttpBadRequest = 400;
constexpr unsigned HttpConflict = 409;

/** Reads a whole file; false if it cannot be read. */
bool readFile(const std::string &name, std::string &text)
{
    std::ifstream input(name);
    if (!input) {
        std::cerr << name << ": cannot be read\n";
        return false;
    }
    std::ostringstream buffer;
    buffer << input.rdbuf();
    text = buffer.str();
    return true;
}

std::string trimmed(std::string text)
{
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0) {
        text.pop_back();
    }
    return text;
}

/** The request that a command stands for; false if the command is incomplete. */
bool makeRequest(const CommandLine &command, HttpRequest &request)
{
    const std::string prefix = "/operator/v1/";
    request.target = prefix + command.subject;
    if (command.subject == "catalogue" && (command.verb == "apply" || command.verb == "diff")) {
        request.method = "POST";
        if (command.verb == "diff" || command.dryRun) {
            request.target += "?dry_run=true";
        } else if (!command.base.empty()) {
            request.target += "?base=" + command.base;
        }
        return readFile(command.file, request.body);
    }
    if (command.subject == "catalogue" && command.verb == "status") {
        request.target = prefix + "vms";
    } else if (command.subject == "report") {
        request.target = prefix + "burn";
    } else if (command.subject == "explain") {
        absl::StrAppend(&request.target, "?entry=", command.entry, "&program=", command.program);
    } else if (command.subject == "intents" && command.verb == "resolve") {
        request.method = "POST";
        absl::StrAppend(&request.target, "?entry=", command.entry, "&program=", command.program,
                        "&call=", command.call, "&outcome=", command.outcome);
    } else if (command.subject == "drain") {
        request.method = "POST";
    } else if (command.subject == "log-level") {
        request.method = "POST";
        request.target += "?level=" + command.level;
    }
    return true;
}

HttpResult send(const Endpoint &endpoint, const HttpRequest &request, bool useTls)
{
    HttpResult result;
    asio::io_context context(1);
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            if (useTls) {
                result = co_await httpsCall(endpoint, request, RequestTimeout);
            } else {
                result = co_await httpCall(endpoint, request, RequestTimeout);
            }
        },
        asio::detached);
    context.run();
    return result;
}

/** Tells a request's story from collected logs; needs no daemon. */
int explainFromLog(const CommandLine &command)
{
    std::ifstream file;
    const bool fromFile = command.logFile != "-";
    if (fromFile) {
        file.open(command.logFile);
        if (!file) {
            std::cerr << command.logFile << ": cannot be read\n";
            return ExitBadArguments;
        }
    }
    std::size_t unreadable = 0;
    const std::vector<LogRecord> log = readLog(fromFile ? file : std::cin, unreadable);
    const std::string story = tellStory(log, command.id);
    if (unreadable > 0) {
        std::cerr << unreadable << " lines are no log lines\n";
    }
    if (story.empty()) {
        std::cerr << "no line names " << command.id << "; lines beyond the rate of an event are "
                  << "left out, see left_out\n";
        return ExitFailed;
    }
    std::cout << story;
    return ExitDone;
}

int exitCodeOf(unsigned status)
{
    if (status == HttpOk) {
        return ExitDone;
    }
    if (status == HttpConflict) {
        return ExitConflict;
    }
    return status == HttpBadRequest ? ExitBadArguments : ExitFailed;
}

} // namespace

int runCommand(const CommandLine &command)
{
    if (!command.logFile.empty()) {
        return explainFromLog(command);
    }
    const absl::StatusOr<Endpoint> endpoint = parseEndpoint(command.daemon);
    if (!endpoint.ok()) {
        std::cerr << "--daemon: " << endpoint.status().message() << "\n";
        return ExitBadArguments;
    }
    std::string key;
    HttpRequest request;
    if (!readFile(command.keyFile, key) || !makeRequest(command, request)) {
        return ExitBadArguments;
    }
    request.fields.push_back({"Authorization", "Bearer " + trimmed(key)});
    const HttpResult result = send(*endpoint, request, command.useTls);
    if (!result.complete) {
        std::cerr << command.daemon << ": " << result.error << "\n";
        return ExitUnreachable;
    }
    const int exitCode = exitCodeOf(result.response.status);
    json::error_code error;
    const json::value answer = json::parse(result.response.body, error);
    if (command.json || error || !answer.is_object()) {
        std::cout << result.response.body << "\n";
        return exitCode;
    }
    const json::value *problem = answer.get_object().if_contains("error");
    if (problem != nullptr && problem->is_string()) {
        std::cerr << std::string(problem->get_string().c_str()) << "\n";
        return exitCode;
    }
    std::cout << renderAnswer(command, answer.get_object());
    return exitCode;
}

} // namespace boragepath
