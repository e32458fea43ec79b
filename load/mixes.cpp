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

/** Draws the numbers of one workload. */
class Draw
{
public:
    explicit Draw(std::uint64_t seed)
        : m_random(seed)
    { }

    double share() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    int between(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(m_random);
    }
    /** Mostly near @p median, at times several times as much. */
    int heavy(int median, int most)
    {
        const double value = median * std::exp(std::normal_distribution<double>(0, 0.6)(m_random));
        return std::clamp(static_cast<int>(value), 1, most);
    }
    double gap(double perSecond)
    {
        return std::exponential_distribution<double>(perSecond)(m_random);
    }

private:
    std::mt19937_64 m_random;
};

std::string systemTextOf(const std::string &entry)
{
    std::string text = absl::StrCat("You act for ", entry, ".");
    while (text.size() < SystemTextBytes) {
        absl::StrAppend(&text, " Rule ", text.size(), " of ", entry, ".");
    }
    return text;
}

PlannedCall modelCall(Draw &draw, int contentTokens, int maxTokens, int pauseMillis)
{
    PlannedCall call;
    call.contentTokens = draw.heavy(contentTokens, contentTokens * 6);
    call.maxTokens = draw.heavy(maxTokens, maxTokens * 5);
    call.pause = Milliseconds(pauseMillis == 0 ? 0 : draw.heavy(pauseMillis, pauseMillis * 5));
    return call;
}

PlannedCall onceOnlyCall(int pauseMillis)
{
    PlannedCall call;
    call.isService = true;
    call.nonIdempotent = true;
    call.pause = Milliseconds(pauseMillis);
    return call;
}

PlannedProgram programFor(const std::string &entry, const std::string &serviceClass,
                          const std::string &model, const std::string &servicePath)
{
    PlannedProgram program;
    program.entry = entry;
    program.serviceClass = serviceClass;
    program.systemText = systemTextOf(entry);
    program.model = model;
    program.servicePath = servicePath;
    return program;
}

PlannedProgram registryProgram(Draw &draw)
{
    const int office = draw.between(1, RegistryOffices);
    if (draw.share() < 0.7) {
        PlannedProgram program = programFor(absl::StrCat("counter-", office), "interactive",
                                            "register-llm", "register-app/holdings");
        const int calls = draw.between(2, 4);
        for (int call = 0; call < calls; ++call) {
            program.calls.push_back(modelCall(draw, 30, 18, call == 0 ? 0 : 600));
        }
        return program;
    }
    PlannedProgram program = programFor(absl::StrCat("transfer-", office), "conversation",
                                        "register-llm", "register-app/shares/issue");
    const int calls = draw.between(5, 10);
    for (int call = 0; call < calls; ++call) {
        program.calls.push_back(modelCall(draw, call == 0 ? 900 : 120, 30, call == 0 ? 0 : 1'500));
    }
    program.calls[calls / 2].childCalls = draw.share() < 0.5 ? 2 : 0;
    program.calls.insert(program.calls.end() - 1, onceOnlyCall(300));
    return program;
}

PlannedProgram spaProgram(Draw &draw)
{
    const int organisation = draw.between(1, SpaOrganisations);
    const double kind = draw.share();
    if (kind < 0.05) {
        PlannedProgram program = programFor("pager", "alert", "agent-llm", "spa-app/pager/send");
        program.calls.push_back(modelCall(draw, 20, 8, 0));
        return program;
    }
    if (kind < 0.30) {
        PlannedProgram program = programFor(absl::StrCat("rebook-", organisation % 8),
                                            "interactive", "agent-llm", "spa-app/holds/place");
        program.calls = {modelCall(draw, 60, 20, 0), onceOnlyCall(200), modelCall(draw, 40, 15, 0)};
        return program;
    }
    if (kind < 0.50) {
        PlannedProgram program = programFor(absl::StrCat("checkout-", organisation % 8),
                                            "interactive", "agent-llm", "spa-app/cards/charge");
        program.calls = {modelCall(draw, 80, 15, 0), modelCall(draw, 30, 15, 500),
                         onceOnlyCall(100), modelCall(draw, 20, 12, 0)};
        return program;
    }
    PlannedProgram program = programFor(absl::StrCat("concierge-", organisation), "conversation",
                                        "agent-llm", "spa-app/slots");
    const int calls = draw.between(4, 9);
    for (int call = 0; call < calls; ++call) {
        program.calls.push_back(modelCall(draw, call == 0 ? 400 : 60, 28, call == 0 ? 0 : 1'500));
    }
    program.calls[calls / 2].childCalls = draw.share() < 0.2 ? 2 : 0;
    return program;
}

EntrySpec entryFor(const PlannedProgram &program)
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
    Draw draw(seed);
    Workload workload;
    double time = 0;
    int number = 0;
    const bool bursty = mix == "spa";
    while (true) {
        time += draw.gap(programsPerSecond);
        if (time >= static_cast<double>(duration.count())) {
            break;
        }
        // The spa's organisations come in bursts: arrivals crowd into part of each second.
        const double arrival = bursty ? std::floor(time) + 0.4 * (time - std::floor(time)) : time;
        PlannedProgram program = bursty ? spaProgram(draw) : registryProgram(draw);
        program.name = absl::StrCat(mix, "-", seed, "-", ++number);
        program.arrival = Milliseconds(static_cast<std::int64_t>(arrival * 1'000));
        const double fate = draw.share();
        program.abandoned = fate < AbandonedShare;
        program.endless = program.serviceClass == "conversation" && fate > 1 - EndlessShare;
        workload.programs.push_back(std::move(program));
    }
    for (const PlannedProgram &program : workload.programs) {
        const bool known =
            std::any_of(workload.entries.begin(), workload.entries.end(),
                        [&](const EntrySpec &entry) { return entry.name == program.entry; });
        if (!known) {
            workload.entries.push_back(entryFor(program));
        }
    }
    return workload;
}

} // namespace boragepath
