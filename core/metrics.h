#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace boragepath {

/**
 * Quantiles of durations, for the metrics page.
 *
 * Kept with Boost.Accumulators, so memory does not grow with the number of
 * samples. Safe to use from several threads.
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /** Adds one sample, in seconds, to the summary @p name. */
    void observe(const std::string &name, double seconds);
    /** All summaries in the Prometheus text format. */
    std::string prometheusText() const;

private:
    struct Summary;
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Summary>> m_summaries;
};

/** One line of the Prometheus text format, with its type line. */
std::string gaugeText(const std::string &name, double value);
/** The same for a counter. */
std::string counterText(const std::string &name, std::uint64_t value);

} // namespace boragepath
