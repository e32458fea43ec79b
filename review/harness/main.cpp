// Runs one case against the daemons and exits with 0 if the rule held, 1 if it was broken and 2 if
// the case could not run.
// Usage: cases NAME FOLDER ROOT COMMAND, with TROUBLE=0 in the environment for a run without the
// disruption.

#include "harness.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cstdlib>
#include <iostream>

#include <unistd.h>

namespace {

using review::Case;

struct NamedCase
{
    Case run;
    int vms;
};

/** Some loopback network of 254 addresses, so that runs beside each other do not meet. */
std::string someNetwork()
{
    std::random_device random;
    const unsigned second = 32 + random() % 128;
    const unsigned third = 1 + random() % 250;
    return "127." + std::to_string(second) + "." + std::to_string(third) + ".";
}

} // namespace

int main(int argc, char **argv)
{
    constexpr int ArgumentCount = 5;
    constexpr review::Millis Limit{110'000};
    const std::map<std::string, NamedCase> cases{
        {"budget", {review::runBudgetCase, 3}},
        {"resumed-turn", {review::runResumedTurnCase, 4}},
        {"long-conversation", {review::runLongConversationCase, 3}},
        {"crashing-request", {review::runCrashingRequestCase, 3}},
        {"endless-answer", {review::runEndlessAnswerCase, 3}},
        {"late-refusal", {review::runLateRefusalCase, 3}},
    };
    if (argc != ArgumentCount || !cases.contains(argv[1])) {
        std::cerr << "usage: cases NAME FOLDER ROOT COMMAND\n";
        return review::ExitNotRun;
    }
    const NamedCase &item = cases.at(argv[1]);
    const char *trouble = std::getenv("TROUBLE");
    const bool withTrouble = trouble == nullptr || std::string(trouble) != "0";
    int result = review::ExitNotRun;
    try {
        review::Stage stage(argv[4], argv[3], argv[2], someNetwork(), withTrouble, item.vms);
        stage.record.add(withTrouble ? "with the disruption" : "without the disruption");
        const auto end = [&](std::exception_ptr failure, int exit) {
            result = failure == nullptr ? exit : review::ExitNotRun;
            stage.context.stop();
        };
        review::asio::co_spawn(stage.context, item.run(stage), end);
        stage.context.run_for(Limit);
        stage.record.add("exit " + std::to_string(result));
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << "\n";
        return review::ExitNotRun;
    }
    std::cout << "exit " << result << "\n" << std::flush;
    // Ends at once: coroutines that still run refer to the stage, which is gone.
    _exit(result);
}
