#pragma once

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace boragepath {

/** Ratios of each run to the round-robin run of the same mix and rate. */
boost::json::object summarizeRuns(const std::vector<boost::json::object> &runs);

/** The runs as a table for a terminal. */
std::string formatResultTable(const std::vector<boost::json::object> &runs);

/** The p95 latencies as a bar chart (SVG). */
std::string renderLatencyChart(const std::vector<boost::json::object> &runs);

} // namespace boragepath
