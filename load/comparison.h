#pragma once

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace boragepath {

/** Ratios of each run to the round-robin run of the same mix and rate. */
boost::json::object summarise(const std::vector<boost::json::object> &runs);

/** The runs as a table for a terminal. */
std::string renderRuns(const std::vector<boost::json::object> &runs);

/** The p95 latencies as a bar chart (SVG). */
std::string renderChart(const std::vector<boost::json::object> &runs);

} // namespace boragepath
