#pragma once

#include "load/mixes.h"
#include "load/program_run.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>

#include <string>
#include <vector>

namespace boragepath {

/** One run of a workload against a deployment. */
struct Experiment
{
    std::vector<Endpoint> daemons;
    Endpoint standinControl;
    std::string operatorKey;
    std::string label;
    std::string mix;
    double programsPerSecond = 5;
    Seconds duration{20};
    /** Time after the last arrival in which programs may still finish. */
    Seconds drainTime{30};
    std::uint64_t seed = 1;
    /** Lines "unix-milliseconds name" written by whoever injects faults; may be empty. */
    std::string eventsFile;
    /** Costs of the stand-in engines, for the ideal bound. */
    double stepMillis = 15.6;
    double prefillMillisPerToken = 0.05;
    double serviceMillis = 20;
};

/**
 * Runs an experiment: arrivals do not wait for earlier programs (open loop).
 *
 * @return latency by class, waste, refusals and broken promises, as JSON.
 */
boost::asio::awaitable<boost::json::object> runExperiment(Experiment experiment);

/** The p-quantile of @p values; 0 if there are none. */
double quantileOf(std::vector<double> values, double p);

} // namespace boragepath
