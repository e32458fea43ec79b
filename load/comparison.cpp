#include "load/comparison.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace boragepath {

namespace json = boost::json;

namespace {

constexpr const char *Reference = "round-robin";
constexpr int BarHeight = 14;
constexpr int ChartWidth = 760;
constexpr int LabelWidth = 300;

double numberOf(const json::value &value)
{
    json::error_code error;
    const double number = value.to_number<double>(error);
    return error ? 0 : number;
}

std::string textOf(const json::value &value)
{
    return value.is_string() ? std::string(value.get_string().c_str()) : json::serialize(value);
}

std::string groupOf(const json::object &run)
{
    return absl::StrCat(textOf(run.at("mix")), " at ",
                        absl::StrFormat("%.1f", numberOf(run.at("programs_per_second"))),
                        " programs/s");
}

const json::object *referenceFor(const std::vector<json::object> &runs, const json::object &run)
{
    for (const json::object &candidate : runs) {
        if (textOf(candidate.at("label")) == Reference && groupOf(candidate) == groupOf(run)) {
            return &candidate;
        }
    }
    return nullptr;
}

/** A ratio, or nothing where a side did not finish 95 in 100. */
json::value ratioOf(double value, double reference)
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
        const json::object *reference = referenceFor(runs, run);
        json::object line;
        for (const auto &field : run.at("classes").get_object()) {
            const json::object &own = field.value().get_object();
            json::object ratios;
            ratios["p95_ms"] = own.at("p95_ms");
            ratios["p95_to_ideal"] =
                ratioOf(numberOf(own.at("p95_ms")), numberOf(own.at("ideal_p95_ms")));
            if (reference != nullptr) {
                const json::object &other =
                    reference->at("classes").get_object().at(field.key()).get_object();
                ratios["p95_to_round_robin"] =
                    ratioOf(numberOf(own.at("p95_ms")), numberOf(other.at("p95_ms")));
            }
            line[field.key()] = std::move(ratios);
        }
        if (reference != nullptr) {
            line["wasted_to_round_robin"] =
                ratioOf(numberOf(run.at("wasted_tokens")),
                        std::max(1.0, numberOf(reference->at("wasted_tokens"))));
        }
        line["wasted_tokens"] = run.at("wasted_tokens");
        line["violations"] = run.at("violations");
        json::value &group = groups[groupOf(run)];
        if (!group.is_object()) {
            group = json::object();
        }
        group.get_object()[textOf(run.at("label"))] = std::move(line);
    }
    return {{"groups", std::move(groups)}, {"violations", violations}};
}

std::string formatResultTable(const std::vector<json::object> &runs)
{
    std::string text;
    std::string group;
    for (const json::object &run : runs) {
        if (groupOf(run) != group) {
            group = groupOf(run);
            absl::StrAppend(&text, "\n", group, "\n");
            absl::StrAppendFormat(&text, "  %-12s %-13s %9s %9s %9s %8s %10s %10s %s\n", "policy",
                                  "class", "finished", "p50 ms", "p95 ms", "x ideal", "wasted",
                                  "prefill", "broken");
        }
        bool first = true;
        for (const auto &field : run.at("classes").get_object()) {
            const json::object &own = field.value().get_object();
            const double p95 = numberOf(own.at("p95_ms"));
            absl::StrAppendFormat(
                &text, "  %-12s %-13s %4.0f/%-4.0f %9.0f %9.0f %8.2f %10s %10s %s\n",
                first ? textOf(run.at("label")) : "", std::string(field.key()),
                numberOf(own.at("finished")), numberOf(own.at("programs")),
                numberOf(own.at("p50_ms")), p95, p95 / numberOf(own.at("ideal_p95_ms")),
                first ? textOf(run.at("wasted_tokens")) : "",
                first ? textOf(run.at("prefill_tokens")) : "",
                first ? textOf(run.at("violations")) : "");
            first = false;
        }
    }
    absl::StrAppend(&text, "\np95 -1: fewer than 95 in 100 finished in time\n");
    return text;
}

std::string renderLatencyChart(const std::vector<json::object> &runs)
{
    double longest = 1;
    std::vector<std::pair<std::string, double>> bars;
    for (const json::object &run : runs) {
        for (const auto &field : run.at("classes").get_object()) {
            const double p95 = numberOf(field.value().get_object().at("p95_ms"));
            longest = std::max(longest, p95);
            bars.emplace_back(absl::StrCat(groupOf(run), ", ", std::string(field.key()), ", ",
                                           textOf(run.at("label"))),
                              p95);
        }
    }
    std::sort(bars.begin(), bars.end());
    const int height = BarHeight * (static_cast<int>(bars.size()) + 2);
    std::string svg = absl::StrCat(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"", ChartWidth + LabelWidth + 80,
        "\" height=\"", height,
        "\" font-family=\"sans-serif\" font-size=\"10\">\n<text x=\"4\" y=\"11\">p95 program "
        "latency, ms (empty: fewer than 95 in 100 finished)</text>\n");
    int line = 1;
    for (const auto &[label, p95] : bars) {
        const int y = BarHeight * line + 4;
        const int width = p95 < 0 ? 0 : static_cast<int>(p95 / longest * (ChartWidth - 100));
        const bool ours = label.ends_with("program");
        absl::StrAppend(&svg, "<text x=\"4\" y=\"", y + 10, "\">", label, "</text><rect x=\"",
                        LabelWidth + 40, "\" y=\"", y, "\" width=\"", width, "\" height=\"",
                        BarHeight - 3, "\" fill=\"", ours ? "#2a7" : "#99a", "\"/><text x=\"",
                        LabelWidth + 44 + width, "\" y=\"", y + 10, "\">",
                        p95 < 0 ? "" : absl::StrFormat("%.0f", p95), "</text>\n");
        line += 1;
    }
    return svg + "</svg>\n";
}

} // namespace boragepath
