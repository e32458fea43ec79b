#pragma once

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace boragepath {

/** Computes the ratios of each run to the round-robin run of the same mix and rate. */
boost::json::object summarizeRuns(const std::vector<boost::json::object> &runs);

/** Formats the runs as a text table for a terminal. */
std::string formatResultTable(const std::vector<boost::json::object> &runs);

/** Returns a bar chart (SVG) of the p95 program latencies. */
std::string renderLatencyChart(const std::vector<boost::json::object> &runs);

} // namespace boragepath
