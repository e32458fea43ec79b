#include "load/comparison.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace boragepath {

namespace json = boost::json;

namespace {

constexpr const char *ReferencePolicy = "round-robin";
constexpr int BarHeight = 14;
constexpr int ChartWidth = 760;
constexpr int LabelWidth = 300;

double toNumber(const json::value &value)
{
    json::error_code error;
    const double number = value.to_number<double>(error);
    return error ? 0 : number;
}

std::string toText(const json::value &value)
{
    return value.is_string() ? std::string(value.get_string().c_str()) : json::serialize(value);
}

std::string groupName(const json::object &run)
{
    return absl::StrCat(toText(run.at("mix")), " at ",
                        absl::StrFormat("%.1f", toNumber(run.at("programs_per_second"))),
                        " programs/s");
}

const json::object *findReferenceRun(const std::vector<json::object> &runs, const json::object &run)
{
    for (const json::object &candidate : runs) {
        if (toText(candidate.at("label")) == ReferencePolicy
            && groupName(candidate) == groupName(run)) {
            return &candidate;
        }
    }
    return nullptr;
}

/** Returns null where a run finished fewer than 95 in 100 programs: its p95 is then -1. */
json::value ratio(double value, double reference)
{
    if (value < 0 || reference <= 0) {
        return nullptr;
    }
    return value / reference;
}

} // namespace

json::object summarizeRuns(const std::vector<json::object> &runs)
{
    json::object groups;
    std::int64_t violations = 0;
    for (const json::object &run : runs) {
        violations += run.at("violations").to_number<std::int64_t>();
        const json::object *reference = findReferenceRun(runs, run);
        json::object runSummary;
        for (const auto &field : run.at("classes").get_object()) {
            const json::object &classResult = field.value().get_object();
            json::object ratios;
            ratios["p95_ms"] = classResult.at("p95_ms");
            ratios["p95_to_ideal"] =
                ratio(toNumber(classResult.at("p95_ms")), toNumber(classResult.at("ideal_p95_ms")));
            if (reference != nullptr) {
                const json::object &referenceResult =
                    reference->at("classes").get_object().at(field.key()).get_object();
                ratios["p95_to_round_robin"] = ratio(toNumber(classResult.at("p95_ms")),
                                                     toNumber(referenceResult.at("p95_ms")));
            }
            runSummary[field.key()] = std::move(ratios);
        }
        if (reference != nullptr) {
            runSummary["wasted_to_round_robin"] =
                ratio(toNumber(run.at("wasted_tokens")),
                      std::max(1.0, toNumber(reference->at("wasted_tokens"))));
        }
        runSummary["wasted_tokens"] = run.at("wasted_tokens");
        runSummary["violations"] = run.at("violations");
        json::value &group = groups[groupName(run)];
        if (!group.is_object()) {
            group = json::object();
        }
        group.get_object()[toText(run.at("label"))] = std::move(runSummary);
    }
    return {{"groups", std::move(groups)}, {"violations", violations}};
}

std::string formatResultTable(const std::vector<json::object> &runs)
{
    std::string text;
    std::string group;
    for (const json::object &run : runs) {
        if (groupName(run) != group) {
            group = groupName(run);
            absl::StrAppend(&text, "\n", group, "\n");
            absl::StrAppendFormat(&text, "  %-12s %-13s %9s %9s %9s %8s %10s %10s %s\n", "policy",
                                  "class", "finished", "p50 ms", "p95 ms", "x ideal", "wasted",
                                  "prefill", "broken");
        }
        bool first = true;
        for (const auto &field : run.at("classes").get_object()) {
            const json::object &classResult = field.value().get_object();
            const double p95 = toNumber(classResult.at("p95_ms"));
            absl::StrAppendFormat(
                &text, "  %-12s %-13s %4.0f/%-4.0f %9.0f %9.0f %8.2f %10s %10s %s\n",
                first ? toText(run.at("label")) : "", std::string(field.key()),
                toNumber(classResult.at("finished")), toNumber(classResult.at("programs")),
                toNumber(classResult.at("p50_ms")), p95,
                p95 / toNumber(classResult.at("ideal_p95_ms")),
                first ? toText(run.at("wasted_tokens")) : "",
                first ? toText(run.at("prefill_tokens")) : "",
                first ? toText(run.at("violations")) : "");
            first = false;
        }
    }
    absl::StrAppend(&text, "\np95 -1: fewer than 95 in 100 finished in time\n");
    return text;
}

std::string renderLatencyChart(const std::vector<json::object> &runs)
{
    double longest = 1;
    std::vector<std::pair<std::string, double>> latencyBars;
    for (const json::object &run : runs) {
        for (const auto &field : run.at("classes").get_object()) {
            const double p95 = toNumber(field.value().get_object().at("p95_ms"));
            longest = std::max(longest, p95);
            latencyBars.emplace_back(absl::StrCat(groupName(run), ", ", std::string(field.key()),
                                                  ", ", toText(run.at("label"))),
                                     p95);
        }
    }
    std::sort(latencyBars.begin(), latencyBars.end());
    const int height = BarHeight * (static_cast<int>(latencyBars.size()) + 2);
    std::string svg = absl::StrCat(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"", ChartWidth + LabelWidth + 80,
        "\" height=\"", height,
        "\" font-family=\"sans-serif\" font-size=\"10\">\n<text x=\"4\" y=\"11\">p95 program "
        "latency, ms (empty: fewer than 95 in 100 finished)</text>\n");
    int row = 1;
    for (const auto &[label, p95] : latencyBars) {
        const int y = BarHeight * row + 4;
        const int width = p95 < 0 ? 0 : static_cast<int>(p95 / longest * (ChartWidth - 100));
        const bool isProgramPolicy = label.ends_with("program");
        absl::StrAppend(&svg, "<text x=\"4\" y=\"", y + 10, "\">", label, "</text><rect x=\"",
                        LabelWidth + 40, "\" y=\"", y, "\" width=\"", width, "\" height=\"",
                        BarHeight - 3, "\" fill=\"", isProgramPolicy ? "#2a7" : "#99a",
                        "\"/><text x=\"", LabelWidth + 44 + width, "\" y=\"", y + 10, "\">",
                        p95 < 0 ? "" : absl::StrFormat("%.0f", p95), "</text>\n");
        row += 1;
    }
    return svg + "</svg>\n";
}

} // namespace boragepath
