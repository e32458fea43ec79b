#include "load/experiment.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>
#include <set>

#include <sys/resource.h>

namespace boragepath {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr Milliseconds ReadyTimeout{30'000};
constexpr Milliseconds CallTimeout{45'000};
constexpr Milliseconds PollInterval{200};
/** After this time, the replicas must have released the memory of every ended program. */
constexpr Seconds MemoryReleaseTime{6};
/** Calls that overlap with this time after a fault count as affected by it. */
constexpr Seconds EventWindow{20};
constexpr std::size_t MaxListedViolations = 20;
constexpr double MicrosPerSecond = 1e6;

asio::awaitable<void> sleepUntil(SteadyClock::time_point time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

double fractionalMillis(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/** End and duration of a finished or failed call, to measure the calls around faults. */
struct CallTime
{
    std::int64_t endUnixMillis = 0;
    double durationMillis = 0;
};

/** Measurements collected during a run. */
struct RunRecords
{
    std::vector<ProgramReport> reports;
    std::vector<CallTime> calls;
    std::size_t running = 0;
};

asio::awaitable<void> runAtArrival(std::shared_ptr<CallerClient> client, PlannedProgram program,
                                   SteadyClock::time_point begin,
                                   std::shared_ptr<RunRecords> records)
{
    co_await sleepUntil(begin + program.arrival);
    records->running += 1;
    ProgramReport report = co_await runProgram(*client, program, CallTimeout);
    records->running -= 1;
    for (const CallReport &call : report.calls) {
        records->calls.push_back({call.endedUnixMillis, fractionalMillis(call.duration)});
    }
    records->reports.push_back(std::move(report));
}

/** Time that a program would take alone on idle replicas that have its prefix cached. */
double idealLatencyMillis(const PlannedProgram &program, const Experiment &experiment)
{
    double total = 0;
    for (std::size_t index = 0; index < program.calls.size(); ++index) {
        const PlannedCall &call = program.calls[index];
        total += static_cast<double>(call.pause.count());
        if (call.isService) {
            total += experiment.serviceMillis;
            continue;
        }
        total += call.contentTokens * experiment.prefillMillisPerToken
            + call.maxTokens * experiment.stepMillis;
        constexpr int SubAgentContentTokens = 30;
        constexpr int SubAgentMaxTokens = 20;
        total += call.subAgentCalls
            * (SubAgentContentTokens * experiment.prefillMillisPerToken
               + SubAgentMaxTokens * experiment.stepMillis);
    }
    return total;
}

json::object latencyByClass(const RunRecords &records, const Workload &workload,
                            const Experiment &experiment)
{
    std::map<std::string, std::vector<double>> latencies;
    std::map<std::string, std::vector<double>> ideals;
    std::map<std::string, std::vector<double>> firstTokens;
    std::map<std::string, std::vector<double>> gaps;
    std::map<std::string, std::size_t> planned;
    std::map<std::string, const PlannedProgram *> byName;
    for (const PlannedProgram &program : workload.programs) {
        if (!program.endless) {
            planned[program.serviceClass] += 1;
            byName[program.name] = &program;
            ideals[program.serviceClass].push_back(idealLatencyMillis(program, experiment));
        }
    }
    for (const ProgramReport &report : records.reports) {
        const auto program = byName.find(report.name);
        if (program == byName.end()) {
            continue;
        }
        if (report.finished) {
            latencies[report.serviceClass].push_back(fractionalMillis(report.latency));
        }
        for (const CallReport &call : report.calls) {
            if (call.verdict == "ran" && call.firstToken > Duration(0)) {
                firstTokens[report.serviceClass].push_back(fractionalMillis(call.firstToken));
                gaps[report.serviceClass].push_back(fractionalMillis(call.longestGap));
            }
        }
    }
    json::object result;
    for (const auto &[name, count] : planned) {
        // An unfinished program counts as slower than all others.
        std::vector<double> values = latencies[name];
        values.resize(count, std::numeric_limits<double>::infinity());
        const auto finiteQuantile = [&](double p) {
            const double value = quantileOf(values, p);
            return std::isfinite(value) ? value : -1.0;
        };
        result[name] = json::object{
            {"programs", count},
            {"finished", latencies[name].size()},
            {"p50_ms", finiteQuantile(0.5)},
            {"p95_ms", finiteQuantile(0.95)},
            {"p99_ms", finiteQuantile(0.99)},
            {"ideal_p95_ms", quantileOf(ideals[name], 0.95)},
            {"first_token_p95_ms", quantileOf(firstTokens[name], 0.95)},
            {"longest_gap_p95_ms", quantileOf(gaps[name], 0.95)},
        };
    }
    return result;
}

const json::object *parseObject(const std::string &text, json::value &storage)
{
    json::error_code error;
    storage = json::parse(text, error);
    return error ? nullptr : storage.if_object();
}

void checkNonIdempotentCalls(const RunRecords &records, const json::object &statistics,
                             std::vector<std::string> &violations)
{
    const json::value *runs = statistics.if_contains("service_runs");
    for (const ProgramReport &report : records.reports) {
        for (const NonIdempotentCall &once : report.nonIdempotentCalls) {
            const json::value *count =
                runs == nullptr ? nullptr : runs->get_object().if_contains(once.idempotencyKey);
            const std::int64_t ran = count == nullptr ? 0 : count->get_int64();
            if (ran > 1) {
                violations.push_back(
                    absl::StrCat("at most once: ", once.idempotencyKey, " ran ", ran, " times"));
            }
            if (once.verdict == "ran" && ran != 1) {
                violations.push_back(
                    absl::StrCat("ran: ", once.idempotencyKey, " ran ", ran, " times"));
            }
            if (once.verdict == "not-run" && ran != 0) {
                violations.push_back(
                    absl::StrCat("not-run: ", once.idempotencyKey, " ran despite this verdict"));
            }
        }
    }
}

void checkBudgets(const std::string &text, const Workload &workload,
                  std::vector<std::string> &violations)
{
    json::value storage;
    const json::object *object = parseObject(text, storage);
    const json::value *budgets = object == nullptr ? nullptr : object->if_contains("budgets");
    if (budgets == nullptr) {
        violations.push_back("budget: the operator API returned no budgets");
        return;
    }
    for (const json::value &budget : budgets->get_array()) {
        const std::string entry(budget.at("entry").get_string().c_str());
        const std::int64_t granted = budget.at("granted").at("tokens").get_int64();
        const std::int64_t used = budget.at("spent").at("tokens").get_int64()
            + budget.at("unaccounted").at("tokens").get_int64();
        for (const EntrySpec &spec : workload.entries) {
            if (spec.name == entry && (granted > spec.budgetTokens || used > granted)) {
                violations.push_back(
                    absl::StrCat("budget: ", entry, " used ", used, " of ", granted, " granted"));
            }
        }
    }
}

/** Reports ended programs whose memory a replica still holds. */
void checkReleasedMemory(const json::object &statistics, const Workload &workload,
                         const RunRecords &records, std::vector<std::string> &violations)
{
    std::set<std::string> abandoned;
    for (const PlannedProgram &program : workload.programs) {
        if (program.abandoned) {
            abandoned.insert(program.name);
        }
    }
    std::set<std::string> ended;
    for (const ProgramReport &report : records.reports) {
        if (report.finished && !abandoned.contains(report.name)) {
            ended.insert(report.entry + "/" + report.name);
        }
    }
    const json::value *held = statistics.if_contains("held_programs");
    if (held == nullptr) {
        violations.push_back("memory: the stand-in statistics have no held_programs");
        return;
    }
    for (const json::value &program : held->get_array()) {
        const std::string name(program.get_string().c_str());
        if (ended.contains(name)) {
            violations.push_back(absl::StrCat("memory: ", name, " is still held"));
        }
    }
}

json::array latencyAroundEvents(const Experiment &experiment, const RunRecords &records)
{
    json::array result;
    std::ifstream file(experiment.eventsFile);
    std::string line;
    while (std::getline(file, line)) {
        const std::vector<std::string> parts = absl::StrSplit(line, absl::MaxSplits(' ', 1));
        std::int64_t at = 0;
        if (parts.size() != 2 || !absl::SimpleAtoi(parts[0], &at)) {
            continue;
        }
        double longest = 0;
        std::size_t slow = 0;
        std::size_t overlapping = 0;
        for (const CallTime &call : records.calls) {
            const auto start = call.endUnixMillis - static_cast<std::int64_t>(call.durationMillis);
            const std::int64_t window = Milliseconds(EventWindow).count();
            if (call.endUnixMillis < at || start > at + window) {
                continue;
            }
            overlapping += 1;
            longest = std::max(longest, call.durationMillis);
            slow += call.durationMillis > 3'000 ? 1 : 0;
        }
        result.push_back(json::object{
            {"event", parts[1]},
            {"calls", overlapping},
            {"slower_than_3s", slow},
            {"longest_call_ms", longest},
        });
    }
    return result;
}

json::object countUnfinishedByReason(const RunRecords &records)
{
    std::map<std::string, std::int64_t> counts;
    for (const ProgramReport &report : records.reports) {
        if (!report.finished) {
            counts[report.reason.empty() ? "unanswered" : report.reason] += 1;
        }
    }
    json::object result;
    for (const auto &[reason, count] : counts) {
        result[reason] = count;
    }
    return result;
}

} // namespace

double quantileOf(std::vector<double> values, double p)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(std::ceil(p * static_cast<double>(values.size())));
    return values[std::min(values.size() - 1, index == 0 ? 0 : index - 1)];
}

asio::awaitable<json::object> runExperiment(Experiment experiment)
{
    json::object result;
    for (const Endpoint &daemon : experiment.daemons) {
        if (!co_await waitUntilReady(daemon, ReadyTimeout)) {
            result["error"] = daemon.text() + " is not ready";
            co_return result;
        }
    }
    const Workload workload = makeWorkload(experiment.mix, experiment.programsPerSecond,
                                           experiment.duration, experiment.seed);
    const std::string problem = co_await applyCatalogue(
        experiment.daemons.front(), experiment.operatorKey, catalogueJson(workload.entries));
    if (!problem.empty()) {
        result["error"] = problem;
        co_return result;
    }
    co_await sleepUntil(SteadyClock::now() + Seconds(2));
    const auto begin = SteadyClock::now();
    const auto client = std::make_shared<CallerClient>(experiment.daemons, experiment.seed);
    const auto records = std::make_shared<RunRecords>();
    const auto executor = co_await asio::this_coro::executor;
    for (const PlannedProgram &program : workload.programs) {
        asio::co_spawn(executor, runAtArrival(client, program, begin, records), asio::detached);
    }
    const auto end = begin + experiment.duration + experiment.drainTime;
    while (SteadyClock::now() < end && records->reports.size() < workload.programs.size()) {
        co_await sleepUntil(SteadyClock::now() + PollInterval);
    }
    const double elapsedMillis = fractionalMillis(SteadyClock::now() - begin);
    co_await sleepUntil(SteadyClock::now() + MemoryReleaseTime);
    const std::string statisticsText =
        co_await readJson(experiment.standinControl, "/statistics", "");
    const std::string budgetsText = co_await readJson(
        experiment.daemons.front(), "/operator/v1/budgets", experiment.operatorKey);
    std::vector<std::string> violations;
    for (const ProgramReport &report : records->reports) {
        violations.insert(violations.end(), report.violations.begin(), report.violations.end());
    }
    json::value statisticsHolder;
    const json::object *statistics = parseObject(statisticsText, statisticsHolder);
    if (statistics == nullptr) {
        result["error"] = "the stand-in does not answer";
        co_return result;
    }
    checkNonIdempotentCalls(*records, *statistics, violations);
    checkBudgets(budgetsText, workload, violations);
    checkReleasedMemory(*statistics, workload, *records, violations);
    const auto tokens = [&](const char *field) { return statistics->at(field).get_int64(); };
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    result["label"] = experiment.label;
    result["mix"] = experiment.mix;
    result["seed"] = experiment.seed;
    result["programs_per_second"] = experiment.programsPerSecond;
    result["programs"] = workload.programs.size();
    result["ended"] = records->reports.size();
    result["took_ms"] = elapsedMillis;
    result["classes"] = latencyByClass(*records, workload, experiment);
    result["not_finished"] = countUnfinishedByReason(*records);
    result["prefill_tokens"] = tokens("prefill_tokens");
    result["cached_tokens"] = tokens("cached_tokens");
    result["recomputed_tokens"] = tokens("recomputed_tokens");
    result["evicted_unused_tokens"] = tokens("evicted_unused_tokens");
    result["wasted_tokens"] = tokens("recomputed_tokens") + tokens("evicted_unused_tokens");
    result["decoded_tokens"] = tokens("decoded_tokens");
    result["preemptions"] = tokens("preemptions");
    result["table_transactions"] = tokens("table_transactions");
    result["table_row_writes"] = tokens("table_row_writes");
    result["standin_lag_ms_max"] = statistics->at("step_lag_ms_max");
    result["load_tool_cpu_share"] =
        (static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
         + static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / MicrosPerSecond)
        / (elapsedMillis / 1'000);
    result["events"] = latencyAroundEvents(experiment, *records);
    result["violations"] = violations.size();
    json::array listed;
    for (std::size_t index = 0; index < std::min(violations.size(), MaxListedViolations); ++index) {
        listed.emplace_back(violations[index]);
    }
    result["violation_list"] = std::move(listed);
    co_return result;
}

} // namespace boragepath
