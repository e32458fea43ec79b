#include "load/mixes.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace boragepath {

namespace {

constexpr int SpaOrganisations = 40;
constexpr int RegistryOffices = 12;
constexpr double AbandonedShare = 0.03;
constexpr double EndlessShare = 0.004;
constexpr std::size_t SystemTextBytes = 800;

/** Random numbers of one workload; the order of the draws determines the workload. */
class RandomDraws
{
public:
    explicit RandomDraws(std::uint64_t seed)
        : m_random(seed)
    { }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    int uniformInteger(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(m_random);
    }
    /**
     * Log-normal around @p median: mostly near it, at times several times as much. Clamped to
     * 1..@p most.
     */
    int logNormal(int median, int most)
    {
        const double value = median * std::exp(std::normal_distribution<double>(0, 0.6)(m_random));
        return std::clamp(static_cast<int>(value), 1, most);
    }
    double interarrivalTime(double perSecond)
    {
        return std::exponential_distribution<double>(perSecond)(m_random);
    }

private:
    std::mt19937_64 m_random;
};

std::string makeSystemText(const std::string &entry)
{
    std::string text = absl::StrCat("You act for ", entry, ".");
    while (text.size() < SystemTextBytes) {
        absl::StrAppend(&text, " Rule ", text.size(), " of ", entry, ".");
    }
    return text;
}

PlannedCall makeModelCall(RandomDraws &random, int contentTokens, int maxTokens, int pauseMillis)
{
    PlannedCall call;
    call.contentTokens = random.logNormal(contentTokens, contentTokens * 6);
    call.maxTokens = random.logNormal(maxTokens, maxTokens * 5);
    call.pause =
        Milliseconds(pauseMillis == 0 ? 0 : random.logNormal(pauseMillis, pauseMillis * 5));
    return call;
}

PlannedCall nonIdempotentServiceCall(int pauseMillis)
{
    PlannedCall call;
    call.isService = true;
    call.nonIdempotent = true;
    call.pause = Milliseconds(pauseMillis);
    return call;
}

PlannedProgram makeProgram(const std::string &entry, const std::string &serviceClass,
                           const std::string &model, const std::string &servicePath)
{
    PlannedProgram program;
    program.entry = entry;
    program.serviceClass = serviceClass;
    program.systemText = makeSystemText(entry);
    program.model = model;
    program.servicePath = servicePath;
    return program;
}

PlannedProgram makeRegistryProgram(RandomDraws &random)
{
    const int office = random.uniformInteger(1, RegistryOffices);
    if (random.uniform() < 0.7) {
        PlannedProgram program = makeProgram(absl::StrCat("counter-", office), "interactive",
                                             "register-llm", "register-app/holdings");
        const int calls = random.uniformInteger(2, 4);
        for (int call = 0; call < calls; ++call) {
            program.calls.push_back(makeModelCall(random, 30, 18, call == 0 ? 0 : 600));
        }
        return program;
    }
    PlannedProgram program = makeProgram(absl::StrCat("transfer-", office), "conversation",
                                         "register-llm", "register-app/shares/issue");
    const int calls = random.uniformInteger(5, 10);
    for (int call = 0; call < calls; ++call) {
        program.calls.push_back(
            makeModelCall(random, call == 0 ? 900 : 120, 30, call == 0 ? 0 : 1'500));
    }
    program.calls[calls / 2].subAgentCalls = random.uniform() < 0.5 ? 2 : 0;
    program.calls.insert(program.calls.end() - 1, nonIdempotentServiceCall(300));
    return program;
}

PlannedProgram makeSpaProgram(RandomDraws &random)
{
    const int organisation = random.uniformInteger(1, SpaOrganisations);
    const double kindDraw = random.uniform();
    if (kindDraw < 0.05) {
        PlannedProgram program = makeProgram("pager", "alert", "agent-llm", "spa-app/pager/send");
        program.calls.push_back(makeModelCall(random, 20, 8, 0));
        return program;
    }
    if (kindDraw < 0.30) {
        PlannedProgram program = makeProgram(absl::StrCat("rebook-", organisation % 8),
                                             "interactive", "agent-llm", "spa-app/holds/place");
        program.calls = {makeModelCall(random, 60, 20, 0), nonIdempotentServiceCall(200),
                         makeModelCall(random, 40, 15, 0)};
        return program;
    }
    if (kindDraw < 0.50) {
        PlannedProgram program = makeProgram(absl::StrCat("checkout-", organisation % 8),
                                             "interactive", "agent-llm", "spa-app/cards/charge");
        program.calls = {makeModelCall(random, 80, 15, 0), makeModelCall(random, 30, 15, 500),
                         nonIdempotentServiceCall(100), makeModelCall(random, 20, 12, 0)};
        return program;
    }
    PlannedProgram program = makeProgram(absl::StrCat("concierge-", organisation), "conversation",
                                         "agent-llm", "spa-app/slots");
    const int calls = random.uniformInteger(4, 9);
    for (int call = 0; call < calls; ++call) {
        program.calls.push_back(
            makeModelCall(random, call == 0 ? 400 : 60, 28, call == 0 ? 0 : 1'500));
    }
    program.calls[calls / 2].subAgentCalls = random.uniform() < 0.2 ? 2 : 0;
    return program;
}

EntrySpec makeEntry(const PlannedProgram &program)
{
    EntrySpec entry;
    entry.name = program.entry;
    entry.serviceClass = program.serviceClass;
    entry.objectiveMillis = program.serviceClass == "alert" ? 2'000
        : program.serviceClass == "interactive"             ? 8'000
                                                            : 40'000;
    entry.pools = {program.model, program.servicePath.substr(0, program.servicePath.find('/'))};
    return entry;
}

} // namespace

bool isKnownMix(const std::string &name)
{
    return name == "registry" || name == "spa";
}

Workload makeWorkload(const std::string &mix, double programsPerSecond, Seconds duration,
                      std::uint64_t seed)
{
    RandomDraws random(seed);
    Workload workload;
    double time = 0;
    int number = 0;
    const bool bursty = mix == "spa";
    while (true) {
        time += random.interarrivalTime(programsPerSecond);
        if (time >= static_cast<double>(duration.count())) {
            break;
        }
        // The mix "spa" has bursts: its arrivals fall into the first 0.4 of each second.
        const double arrival = bursty ? std::floor(time) + 0.4 * (time - std::floor(time)) : time;
        PlannedProgram program = bursty ? makeSpaProgram(random) : makeRegistryProgram(random);
        program.name = absl::StrCat(mix, "-", seed, "-", ++number);
        program.arrival = Milliseconds(static_cast<std::int64_t>(arrival * 1'000));
        const double outcomeDraw = random.uniform();
        program.abandoned = outcomeDraw < AbandonedShare;
        program.endless = program.serviceClass == "conversation" && outcomeDraw > 1 - EndlessShare;
        workload.programs.push_back(std::move(program));
    }
    for (const PlannedProgram &program : workload.programs) {
        const bool known =
            std::any_of(workload.entries.begin(), workload.entries.end(),
                        [&](const EntrySpec &entry) { return entry.name == program.entry; });
        if (!known) {
            workload.entries.push_back(makeEntry(program));
        }
    }
    return workload;
}

} // namespace boragepath
