#pragma once

#include "core/settings.h"
#include "net/http_server.h"
#include "standin/engine_model.h"
#include "standin/table_store.h"

#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace boragepath {

/** Faults of one server; set over HTTP, gone after their time. */
struct Faults
{
    std::chrono::steady_clock::time_point outageUntil;
    std::chrono::steady_clock::time_point hangUntil;
    std::chrono::steady_clock::time_point slowUntil;
    Milliseconds slowBy{0};
    std::chrono::steady_clock::time_point loseUntil;
    /** Share of transactions that take effect and whose answer is lost. */
    double loseShare = 0;
    bool leaving = false;
};

/** The platform's table service in memory, over HTTP; for one thread. */
class TableServer
{
public:
    TableServer(boost::asio::io_context &context, const Endpoint &endpoint, std::uint64_t seed);

    Faults &faults() { return m_faults; }
    const TableStore &store() const { return m_store; }

private:
    boost::asio::awaitable<void> serve(const HttpRequest &request, HttpResponder &responder);

    TableStore m_store;
    Faults m_faults;
    std::mt19937_64 m_random;
    HttpServer m_server;
};

/** One replica of a model, over HTTP in the OpenAI format; for one thread. */
class EngineServer
{
public:
    EngineServer(boost::asio::io_context &context, const ReplicaSettings &settings,
                 EngineCosts costs, std::shared_ptr<ComputedBlocks> computed);

    Faults &faults() { return m_faults; }
    const EngineModel &model() const { return m_model; }
    /** How late steps were at most: a slow machine, not a slow engine. */
    Milliseconds longestLag() const { return m_longestLag; }
    /** Ends all streams at once, as if the process had died and come back empty. */
    void die();

private:
    using Channel =
        boost::asio::experimental::concurrent_channel<void(boost::system::error_code, EngineEvent)>;

    boost::asio::awaitable<void> serve(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> complete(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> stepLoop();
    HttpResponse status(Seconds idle) const;

    boost::asio::io_context &m_context;
    EngineCosts m_costs;
    std::shared_ptr<ComputedBlocks> m_computed;
    EngineModel m_model;
    Faults m_faults;
    std::uint64_t m_nextId = 1;
    Milliseconds m_longestLag{0};
    std::map<std::uint64_t, std::shared_ptr<Channel>> m_channels;
    boost::asio::steady_timer m_wake;
    /** Step numbers by time, to tell how long a program has lain idle. */
    std::map<std::chrono::steady_clock::time_point, std::uint64_t> m_stepAt;
    HttpServer m_server;
};

/** One plain service; counts the runs of each idempotency key. */
class ServiceServer
{
public:
    ServiceServer(boost::asio::io_context &context, const ReplicaSettings &settings,
                  Milliseconds duration, std::shared_ptr<std::map<std::string, int>> runs);

    Faults &faults() { return m_faults; }

private:
    boost::asio::awaitable<void> serve(const HttpRequest &request, HttpResponder &responder);

    Milliseconds m_duration;
    std::shared_ptr<std::map<std::string, int>> m_runs;
    Faults m_faults;
    HttpServer m_server;
};

/** All stand-ins of one deployment, and the interface that commands them. */
class StandinServers
{
public:
    struct Config
    {
        EngineCosts costs;
        Milliseconds serviceDuration{20};
        Endpoint control;
    };

    StandinServers(boost::asio::io_context &context, const Settings &settings,
                   const Config &config);

    const TableStore &store() const { return m_table.store(); }
    const std::map<std::string, int> &serviceRuns() const { return *m_runs; }

private:
    boost::asio::awaitable<void> serve(const HttpRequest &request, HttpResponder &responder);
    std::string applyFault(const HttpRequest &request);
    std::string statistics() const;

    std::shared_ptr<ComputedBlocks> m_computed = std::make_shared<ComputedBlocks>();
    std::shared_ptr<std::map<std::string, int>> m_runs =
        std::make_shared<std::map<std::string, int>>();
    TableServer m_table;
    std::map<std::string, std::unique_ptr<EngineServer>> m_engines;
    std::map<std::string, std::unique_ptr<ServiceServer>> m_services;
    HttpServer m_control;
};

} // namespace boragepath
