// Google Benchmark of the scheduling decisions made for each call.

#include "bench/bench_node.h"
#include "control/policy.h"

#include <benchmark/benchmark.h>

#include <absl/strings/str_cat.h>

namespace {

using namespace boragepath;

void decidePlacement(benchmark::State &state)
{
    std::vector<ReplicaView> views;
    for (std::int64_t index = 0; index < state.range(0); ++index) {
        views.push_back({ReplicaId(absl::StrCat("model-", index)), static_cast<double>(index % 9),
                         0, index % 3 == 0});
    }
    PlacementQuery query;
    query.historyTokens = 4'000;
    query.prefixReplica = views.back().id;
    query.maxBatchSize = 8;
    std::mt19937_64 random(1);
    for (auto step : state) {
        benchmark::DoNotOptimize(chooseReplica(PolicyKind::Program, views, query, random));
    }
}
BENCHMARK(decidePlacement)->Arg(12)->Arg(60)->Arg(150)->Arg(300)->Arg(600);

void rankWaitingCall(benchmark::State &state)
{
    WaitingCall call;
    call.attainedService = Milliseconds(1'234);
    for (auto step : state) {
        benchmark::DoNotOptimize(rankOf(PolicyKind::Program, call));
    }
}
BENCHMARK(rankWaitingCall);

/** A complete call through one node; the argument is the number of programs it already holds. */
void wholeCall(benchmark::State &state)
{
    BenchNode bench({330, 600, 10, 1'000'000});
    for (int number = 0; number < state.range(0); ++number) {
        bench.call("organisation-1", bench.ownedProgram("organisation-1", number), 1, 40);
    }
    int number = 1'000'000;
    for (auto step : state) {
        state.PauseTiming();
        const std::string program = bench.ownedProgram("organisation-1", number++);
        state.ResumeTiming();
        bench.call("organisation-1", program, 1, 400);
    }
}
BENCHMARK(wholeCall)->Arg(10)->Arg(50)->Arg(115)->Arg(230)->Iterations(200);

} // namespace

BENCHMARK_MAIN();
