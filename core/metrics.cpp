#include "core/metrics.h"

// Boost.Accumulators uses it without including it.
#include <sstream>

#include <absl/strings/str_cat.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>

namespace boragepath {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> Quantiles = {0.5, 0.95, 0.99};
/** Neighbours on both sides of the quantiles make the estimate better. */
constexpr std::array<double, 7> TrackedQuantiles = {0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999};

/** Upper bounds in seconds: from a tool's answer to a caller's longest patience. */
constexpr std::array<double, 12> BucketBounds = {0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                                 0.5,   1,    2.5,   5,    10,  30};

using QuantileSet = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                        accumulators::tag::extended_p_square_quantile>>;

} // namespace

struct Metrics::Histogram
{
    /** Samples up to each bound and above the one before; the last takes the rest. */
    std::array<std::uint64_t, BucketBounds.size() + 1> buckets{};
    QuantileSet samples{accumulators::tag::extended_p_square::probabilities = TrackedQuantiles};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::observe(const std::string &name, double seconds)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::unique_ptr<Histogram> &histogram = m_histograms[name];
    if (histogram == nullptr) {
        histogram = std::make_unique<Histogram>();
    }
    const auto bound = std::lower_bound(BucketBounds.begin(), BucketBounds.end(), seconds);
    histogram->buckets[static_cast<std::size_t>(bound - BucketBounds.begin())] += 1;
    histogram->samples(seconds);
}

std::string Metrics::prometheusText() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::string text;
    for (const auto &[name, histogram] : m_histograms) {
        const QuantileSet &samples = histogram->samples;
        absl::StrAppend(&text, "# TYPE ", name, " histogram\n");
        std::uint64_t below = 0;
        for (std::size_t index = 0; index < BucketBounds.size(); ++index) {
            below += histogram->buckets[index];
            absl::StrAppend(&text, name, "_bucket{le=\"", BucketBounds[index], "\"} ", below, "\n");
        }
        const auto count = accumulators::count(samples);
        absl::StrAppend(&text, name, "_bucket{le=\"+Inf\"} ", count, "\n");
        absl::StrAppend(&text, name, "_sum ", accumulators::sum(samples), "\n");
        absl::StrAppend(&text, name, "_count ", count, "\n");
        absl::StrAppend(&text, "# TYPE ", name, "_quantile gauge\n");
        for (const double quantile : Quantiles) {
            const double value =
                accumulators::quantile(samples, accumulators::quantile_probability = quantile);
            absl::StrAppend(&text, name, "_quantile{quantile=\"", quantile, "\"} ", value, "\n");
        }
    }
    return text;
}

std::string formatGauge(const std::string &name, double value)
{
    return absl::StrCat("# TYPE ", name, " gauge\n", name, " ", value, "\n");
}

std::string formatCounter(const std::string &name, std::uint64_t value)
{
    return absl::StrCat("# TYPE ", name, " counter\n", name, " ", value, "\n");
}

} // namespace boragepath
