#pragma once

#include "load/mixes.h"
#include "load/program_run.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>

#include <string>
#include <vector>

namespace boragepath {

/** Parameters of one run of a workload against a deployment. */
struct Experiment
{
    std::vector<Endpoint> daemons;
    Endpoint standinControl;
    std::string operatorKey;
    std::string label;
    std::string mix;
    double programsPerSecond = 5;
    Seconds duration{20};
    /** Time after the end of the arrivals in which programs may still finish. */
    Seconds drainTime{30};
    std::uint64_t seed = 1;
    /**
     * File with a line "unix-milliseconds name" for each injected fault, written by the script
     * that injects them; may be empty.
     */
    std::string eventsFile;
    /** Costs of the stand-in engines, from which the ideal latency is computed. */
    double stepMillis = 15.6;
    double prefillMillisPerToken = 0.05;
    double serviceMillis = 20;
};

/**
 * Runs an experiment with open-loop arrivals: programs start at their planned times, whether or
 * not earlier programs have finished.
 *
 * @return latency by service class, wasted tokens, reasons of unfinished programs and violated
 *     guarantees, as JSON; an object with the field "error" if the run could not be measured.
 */
boost::asio::awaitable<boost::json::object> runExperiment(Experiment experiment);

/** Returns the @p p quantile of @p values by the nearest rank; 0 if there are none. */
double quantileOf(std::vector<double> values, double p);

} // namespace boragepath
