// Measures the CPU, memory and traffic of one node at several deployment sizes, and fits a
// straight line to each cost.
//
// The figures of docs/CAPACITY.md are computed from this output.

#include "bench/bench_node.h"
#include "peers/datagram_codec.h"

#include <absl/strings/str_cat.h>

#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <vector>

namespace {

using namespace boragepath;

constexpr double NanosPerSecond = 1e9;
constexpr double MicrosPerSecond = 1e6;

double cpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / NanosPerSecond;
}

double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

/** Straight line fitted by least squares of y over x. */
struct LineFit
{
    double slope = 0;
    double intercept = 0;
    /** Largest deviation of a point from the line, as a share of the largest absolute y. */
    double largestResidual = 0;
};

LineFit fitLine(const std::vector<double> &x, const std::vector<double> &y)
{
    const auto n = static_cast<double>(x.size());
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    double largestY = 0;
    for (std::size_t index = 0; index < x.size(); ++index) {
        sumX += x[index];
        sumY += y[index];
        sumXX += x[index] * x[index];
        sumXY += x[index] * y[index];
        largestY = std::max(largestY, std::abs(y[index]));
    }
    LineFit fit;
    fit.slope = (n * sumXY - sumX * sumY) / (n * sumXX - sumX * sumX);
    fit.intercept = (sumY - fit.slope * sumX) / n;
    for (std::size_t index = 0; index < x.size(); ++index) {
        const double error = std::abs(y[index] - (fit.intercept + fit.slope * x[index]));
        fit.largestResidual = std::max(fit.largestResidual, largestY == 0 ? 0 : error / largestY);
    }
    return fit;
}

/**
 * Measures a cost at each size with @p measure, and prints the points, the fitted line and its
 * value at @p target.
 */
void fitCost(const char *what, const char *unit, const char *over, const std::vector<double> &sizes,
             double target, const std::function<double(double)> &measure)
{
    std::vector<double> values;
    std::printf("%-34s %-8s", what, unit);
    for (const double size : sizes) {
        values.push_back(measure(size));
        std::printf(" %6.0f:%-9.4g", size, values.back());
    }
    const LineFit fit = fitLine(sizes, values);
    std::printf("| %.4g + %.4g/%s, residual %.0f %%, at %.0f: %.4g\n", fit.intercept, fit.slope,
                over, fit.largestResidual * 100, target, fit.intercept + fit.slope * target);
}

BenchSize benchSize(double members, double replicas, double entries)
{
    return {static_cast<std::size_t>(members), static_cast<std::size_t>(replicas),
            static_cast<std::size_t>(entries)};
}

// --- Costs without calls ----------------------------------------------------

void measureIdle()
{
    constexpr Seconds MeasuredTime{30};
    const std::vector<double> members = {11, 60, 120, 220, 330};
    const auto replicasFor = [](double count) { return std::max(12.0, count * 600 / 330); };
    fitCost("idle node: CPU", "us/s", "VM", members, 330, [&](double count) {
        BenchNode bench(benchSize(count, replicasFor(count), 100));
        const double before = cpuSeconds();
        bench.run(MeasuredTime);
        return (cpuSeconds() - before) * MicrosPerSecond / MeasuredTime.count();
    });
    const auto counterRate = [&](std::int64_t Traffic::*counter) {
        return [&, counter](double count) {
            BenchNode bench(benchSize(count, replicasFor(count), 100));
            bench.run(MeasuredTime);
            return static_cast<double>(bench.traffic().*counter) / MeasuredTime.count();
        };
    };
    fitCost("idle node: bytes between VMs", "B/s", "VM", members, 330,
            counterRate(&Traffic::peerBytes));
    fitCost("idle node: bytes with the table", "B/s", "VM", members, 330,
            counterRate(&Traffic::tableBytes));
    fitCost("idle node: table reads", "1/s", "VM", members, 330, counterRate(&Traffic::reads));
    fitCost("idle node: table transactions", "1/s", "VM", members, 330,
            counterRate(&Traffic::transactions));
    fitCost("membership, shards, loads: memory", "B", "VM", members, 330, [&](double count) {
        const double before = heapBytes();
        const BenchNode bench(benchSize(count, replicasFor(count), 1));
        return heapBytes() - before;
    });
    fitCost("losing one member: CPU", "us", "VM", members, 330, [&](double count) {
        BenchNode bench(benchSize(count, replicasFor(count), 100));
        constexpr int Losses = 5;
        const double before = cpuSeconds();
        for (int index = 1; index <= Losses; ++index) {
            bench.markMemberGone(static_cast<std::size_t>(index));
            bench.run(Seconds(3));
        }
        const double cpuWithLosses = cpuSeconds() - before;
        const double idleCpuBefore = cpuSeconds();
        bench.run(Seconds(3 * Losses));
        return (cpuWithLosses - (cpuSeconds() - idleCpuBefore)) * MicrosPerSecond / Losses;
    });
}

void measureCatalogue()
{
    const std::vector<double> entries = {50, 200, 400, 810, 1'600};
    fitCost("catalogue: memory", "B", "entry", entries, 810, [&](double count) {
        const double before = heapBytes();
        BenchNode bench(benchSize(11, 12, count));
        const double heapWithEntries = heapBytes() - before;
        const double emptyBefore = heapBytes();
        BenchNode empty(benchSize(11, 12, 0));
        // The store of the bench holds the rows as well; half is taken as the node's part.
        return (heapWithEntries - (heapBytes() - emptyBefore)) / 2;
    });
    fitCost("catalogue: bytes of a change", "B", "entry", entries, 810, [&](double count) {
        BenchNode bench(benchSize(11, 12, count));
        bench.run(Seconds(4));
        const std::int64_t idleBytes = bench.traffic().tableBytes;
        bench.writeChangedEntry(1);
        bench.run(Seconds(4));
        return static_cast<double>(bench.traffic().tableBytes - 2 * idleBytes);
    });
}

// --- Costs of calls and programs --------------------------------------------

void measureCalls()
{
    constexpr int Calls = 200;
    const std::vector<double> members = {11, 60, 120, 220, 330};
    fitCost("owner: CPU of a call", "us", "VM", members, 330, [&](double count) {
        // With this write limit no commit waits, so that only the cost of the calls is measured.
        BenchSize size = benchSize(count, count * 600 / 330, 100);
        size.tableWritesPerSecond = 1'000'000;
        BenchNode bench(size);
        std::vector<std::string> programs;
        for (int number = 0; number < Calls; ++number) {
            programs.push_back(bench.ownedProgram("organisation-1", number));
        }
        const double before = cpuSeconds();
        const SteadyTime start = bench.clock().now();
        for (const std::string &program : programs) {
            bench.call("organisation-1", program, 1, 400);
        }
        const double busy = cpuSeconds() - before;
        const Duration span = bench.clock().now() - start;
        // The idle cost of the same node over the same simulated time is subtracted.
        const double idleBefore = cpuSeconds();
        bench.run(span);
        return (busy - (cpuSeconds() - idleBefore)) * MicrosPerSecond / Calls;
    });
    fitCost("owner: bytes between VMs of a call", "B", "VM", members, 330, [&](double count) {
        BenchNode bench(benchSize(count, count * 600 / 330, 100));
        bench.traffic() = {};
        for (int number = 1; number <= Calls; ++number) {
            bench.call("organisation-1", bench.ownedProgram("organisation-1", number), 1, 400);
        }
        return static_cast<double>(bench.traffic().peerBytes) / Calls;
    });
    fitCost("owner: rows written by a call", "rows", "VM", members, 330, [&](double count) {
        BenchNode bench(benchSize(count, count * 600 / 330, 100));
        bench.traffic() = {};
        for (int number = 1; number <= Calls; ++number) {
            bench.call("organisation-1", bench.ownedProgram("organisation-1", number), 1, 400);
        }
        return static_cast<double>(bench.traffic().rowWrites) / Calls;
    });
    fitCost("owner: table bytes of a call", "B", "byte", {400, 1'600, 3'200, 7'800}, 7'800,
            [&](double bytes) {
                BenchNode bench(benchSize(11, 12, 10));
                bench.traffic() = {};
                for (int number = 1; number <= 50; ++number) {
                    bench.call("organisation-1", bench.ownedProgram("organisation-1", number), 1,
                               static_cast<std::size_t>(bytes));
                }
                return static_cast<double>(bench.traffic().tableBytes) / 50;
            });
}

void measurePrograms()
{
    fitCost("owner: memory of a program", "B", "turn", {1, 8, 24, 48, 72}, 72, [&](double turns) {
        BenchNode bench(benchSize(11, 12, 10));
        constexpr int Programs = 4;
        constexpr std::size_t BytesOfTurn = 7'800;
        const std::int64_t before = bench.node().engine().cachedBytes();
        for (int number = 1; number <= Programs; ++number) {
            const std::string program = bench.ownedProgram("organisation-1", number);
            for (std::uint32_t turn = 1; turn <= static_cast<std::uint32_t>(turns); ++turn) {
                bench.call("organisation-1", program, turn, BytesOfTurn);
            }
        }
        return static_cast<double>(bench.node().engine().cachedBytes() - before) / Programs;
    });
    fitCost("owner: memory beside the history", "B", "program", {50, 100, 200, 400}, 115,
            [&](double programs) {
                BenchNode bench(benchSize(11, 12, 10));
                bench.call("organisation-1", bench.ownedProgram("organisation-1", 0), 1, 10);
                const double before = heapBytes();
                for (int number = 1; number <= static_cast<int>(programs); ++number) {
                    bench.call("organisation-1", bench.ownedProgram("organisation-1", number), 1,
                               10);
                }
                return heapBytes() - before;
            });
    fitCost("sweeper: CPU", "us/s", "program", {50, 100, 200, 400, 800}, 115, [&](double programs) {
        BenchNode bench(benchSize(11, 12, 10));
        for (int number = 1; number <= static_cast<int>(programs); ++number) {
            bench.call("organisation-1", bench.ownedProgram("organisation-1", number), 1, 10);
        }
        const double before = cpuSeconds();
        bench.run(Seconds(20));
        return (cpuSeconds() - before) * MicrosPerSecond / 20;
    });
}

void measurePermitServer()
{
    ManualClock clock;
    const auto requestAt = [](std::uint64_t permit) {
        peers::PermitRequest request;
        request.permit = static_cast<std::int64_t>(permit);
        request.serviceClass = 1;
        request.attainedMillis = static_cast<std::int64_t>(permit % 97) * 100;
        request.started = true;
        return request;
    };
    fitCost("gatekeeper: CPU of a permit", "us", "waiting", {1, 16, 64, 256, 1'024}, 32,
            [&](double waiting) {
                PermitServer permitServer(
                    {ReplicaId("m"), 8, PolicyKind::Program, Milliseconds(100'000'000)}, clock);
                const auto holder = [](std::uint64_t permit) {
                    return PermitHolder{VmId("vm-1"), FenceNumber(1), PermitId(permit)};
                };
                std::uint64_t next = 1;
                const auto depth = static_cast<std::uint64_t>(waiting);
                std::vector<PermitHolder> running;
                for (; next <= 8 + depth; ++next) {
                    if (permitServer.request(holder(next), requestAt(next)).outcome
                        == peers::PermitOutcome::GRANTED) {
                        running.push_back(holder(next));
                    }
                }
                constexpr int Rounds = 2'000;
                const double before = cpuSeconds();
                for (int round = 0; round < Rounds; ++round) {
                    const PermitHolder ended = running.back();
                    running.pop_back();
                    permitServer.release(ended);
                    running.push_back(permitServer.takeNotices().at(0).holder);
                    permitServer.request(holder(next), requestAt(next));
                    next += 1;
                }
                return (cpuSeconds() - before) * MicrosPerSecond / Rounds;
            });
    fitCost("placement: CPU of a decision", "us", "replica", {12, 60, 150, 300, 600}, 600,
            [&](double replicas) {
                std::vector<ReplicaView> views;
                for (int index = 0; index < static_cast<int>(replicas); ++index) {
                    views.push_back({ReplicaId(absl::StrCat("model-", index)),
                                     static_cast<double>(index % 9), 0, index % 3 == 0});
                }
                PlacementQuery query;
                query.historyTokens = 4'000;
                query.prefixReplica = views[views.size() / 2].id;
                query.commonPromptReplica = views[views.size() / 3].id;
                query.maxBatchSize = 8;
                std::mt19937_64 random(1);
                constexpr int Rounds = 5'000;
                const double before = cpuSeconds();
                for (int round = 0; round < Rounds; ++round) {
                    query.turn += chooseReplica(PolicyKind::Program, views, query, random).index;
                }
                return (cpuSeconds() - before) * MicrosPerSecond / Rounds;
            });
}

// --- Message sizes ----------------------------------------------------------

void printSize(const char *what, peers::Envelope envelope)
{
    envelope.vm = "vm-123";
    envelope.fence = 123'456;
    std::printf("%-34s %zu B\n", what, encodeDatagram(envelope, "secret").size());
}

void measureMessages()
{
    std::printf("\nsizes of datagrams, authentication included, IP and UDP headers not\n");
    peers::Envelope envelope;
    peers::Probe probe;
    probe.sequence = 1'000'000;
    probe.catalogueRevision = 100'000;
    probe.placementRevision = 1'000'000'000;
    probe.catalogueAgeMillis = 1'500;
    envelope.__set_probe(probe);
    printSize("probe, no news", envelope);
    for (int count = 0; count < 8; ++count) {
        peers::ReplicaLoad load;
        load.replica = absl::StrCat("register-llm-", count + 100);
        load.running = 8;
        load.waiting = 12;
        load.version = 1'000'000'000'000;
        probe.loads.push_back(load);
        peers::Suspicion suspicion;
        suspicion.vm = absl::StrCat("vm-", 100 + count);
        suspicion.fence = 100'000;
        probe.suspicions.push_back(suspicion);
    }
    envelope.__set_probe(probe);
    printSize("probe, 8 loads and 8 suspicions", envelope);
    envelope = {};
    peers::PermitRequest request;
    request.permit = 1'000'000;
    request.replica = "register-llm-123";
    request.attainedMillis = 100'000;
    request.slackMillis = -100'000;
    request.waitedMillis = 1'000;
    envelope.__set_permitRequests({request});
    printSize("permit request", envelope);
    envelope = {};
    peers::PermitAnswer answer;
    answer.permit = 1'000'000;
    answer.replica = "register-llm-123";
    answer.running = 8;
    answer.waiting = 100;
    envelope.__set_permitAnswers({answer});
    printSize("permit answer", envelope);
    envelope = {};
    peers::PermitRelease release;
    release.permit = 1'000'000;
    release.replica = "register-llm-123";
    envelope.__set_permitReleases({release});
    printSize("permit release", envelope);
    envelope = {};
    peers::PermitReleased released;
    released.permit = 1'000'000;
    released.replica = "register-llm-123";
    envelope.__set_permitsReleased({released});
    printSize("permit released", envelope);
    envelope = {};
    peers::HeldPrograms held;
    held.replica = "register-llm-123";
    held.programs.assign(10, "organisation-123/program-123456789");
    envelope.__set_heldPrograms(held);
    printSize("held programs, 10 of them", envelope);
}

} // namespace

int main()
{
    measureIdle();
    measureCatalogue();
    measureCalls();
    measurePrograms();
    measurePermitServer();
    measureMessages();
    return 0;
}
