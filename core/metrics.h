#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace boragepath {

/**
 * Histograms of durations, and estimates of their quantiles, for the metrics page.
 *
 * Buckets can be added up over VMs; the quantiles of one VM are kept with
 * Boost.Accumulators. Memory does not grow with the number of samples. Safe to
 * use from several threads.
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /** Adds one sample, in seconds, to the histogram @p name. */
    void observe(const std::string &name, double seconds);
    /** All histograms in the Prometheus text format. */
    std::string prometheusText() const;

private:
    struct Histogram;
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Histogram>> m_histograms;
};

/** One line of the Prometheus text format, with its type line. */
std::string formatGauge(const std::string &name, double value);
/** The same for a counter. */
std::string formatCounter(const std::string &name, std::uint64_t value);

} // namespace boragepath
