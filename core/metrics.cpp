#include "core/metrics.h"

// Boost.Accumulators uses it without including it.
#include <sstream>

#include <absl/strings/str_cat.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>

namespace boragepath {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> Quantiles = {0.5, 0.95, 0.99};
/** Neighbours on both sides of the quantiles make the estimate better. */
constexpr std::array<double, 7> TrackedQuantiles = {0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999};

using QuantileSet = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                        accumulators::tag::extended_p_square_quantile>>;

} // namespace

struct Metrics::Summary
{
    QuantileSet samples{accumulators::tag::extended_p_square::probabilities = TrackedQuantiles};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::observe(const std::string &name, double seconds)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::unique_ptr<Summary> &summary = m_summaries[name];
    if (summary == nullptr) {
        summary = std::make_unique<Summary>();
    }
    summary->samples(seconds);
}

std::string Metrics::prometheusText() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::string text;
    for (const auto &[name, summary] : m_summaries) {
        absl::StrAppend(&text, "# TYPE ", name, " summary\n");
        for (const double quantile : Quantiles) {
            const double value = accumulators::quantile(
                summary->samples, accumulators::quantile_probability = quantile);
            absl::StrAppend(&text, name, "{quantile=\"", quantile, "\"} ", value, "\n");
        }
        absl::StrAppend(&text, name, "_sum ", accumulators::sum(summary->samples), "\n");
        absl::StrAppend(&text, name, "_count ", accumulators::count(summary->samples), "\n");
    }
    return text;
}

std::string gaugeText(const std::string &name, double value)
{
    return absl::StrCat("# TYPE ", name, " gauge\n", name, " ", value, "\n");
}

std::string counterText(const std::string &name, std::uint64_t value)
{
    return absl::StrCat("# TYPE ", name, " counter\n", name, " ", value, "\n");
}

} // namespace boragepath
