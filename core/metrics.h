#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace boragepath {

/**
 * Histograms of durations and estimates of their quantiles, for the metrics endpoint.
 *
 * Buckets of several VMs can be summed. Quantiles cannot: they are estimated for this VM
 * alone, by Boost.Accumulators. Memory use does not grow with the number of samples.
 * Thread-safe.
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /** Adds one sample, in seconds, to the histogram @p name. */
    void observe(const std::string &name, double seconds);
    /** All histograms and quantiles in the Prometheus text format. */
    std::string prometheusText() const;

private:
    struct Histogram;
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Histogram>> m_histograms;
};

/** A gauge in the Prometheus text format: its type line and its value. */
std::string formatGauge(const std::string &name, double value);
/** A counter in the Prometheus text format: its type line and its value. */
std::string formatCounter(const std::string &name, std::uint64_t value);

} // namespace boragepath
