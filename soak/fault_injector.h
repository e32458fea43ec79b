#pragma once

#include "soak/fleet.h"
#include "standin/link_proxy.h"
#include "standin/platform_replica.h"
#include "standin/row_server.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace boragepath::soak {

/** One replica with the link that leads to it. */
struct ReplicaSite
{
    Endpoint realEndpoint;
    /** Where it is registered. */
    Endpoint linkEndpoint;
    std::unique_ptr<PlatformReplica> replica;
    std::unique_ptr<LinkProxy> link;
    std::string service;
    std::int64_t startedAtMillis = 0;
    bool draining = false;
};

/** All that trouble can befall. */
struct Deployment
{
    boost::asio::io_context &context;
    Fleet &fleet;
    RowServer &store;
    /** The way of each VM to the store. */
    std::vector<std::unique_ptr<LinkProxy>> storeLinks;
    std::vector<ReplicaSite> replicas;
    PlatformReplica::Ran ran;
    std::int64_t configurationVersion = 0;
    std::uint64_t nextReplica = 1;
    std::uint64_t seed = 0;
};

/** Writes the next version of the configuration, as the operator does. */
void writeConfiguration(Deployment &deployment);
/** Starts a replica at its place, under a new id, and registers it. */
void startReplica(Deployment &deployment, ReplicaSite &site);
/** Replicas that live write their entries from time to time. */
boost::asio::awaitable<void> keepRegistrations(Deployment &deployment, const bool &stopped);

/** Brings troubles over a deployment, one after the other and at the same time, by a seed. */
class Troubles
{
public:
    Troubles(Deployment &deployment, std::uint64_t seed);

    /** Ends with all troubles over. */
    boost::asio::awaitable<void> run(Duration span);
    const std::vector<std::string> &history() const { return m_history; }

private:
    using Trouble = std::function<boost::asio::awaitable<void>()>;

    boost::asio::awaitable<void> one();
    boost::asio::awaitable<void> bringUp(std::size_t vm);
    boost::asio::awaitable<void> killVms(std::size_t count);
    boost::asio::awaitable<void> freezeVm();
    boost::asio::awaitable<void> stopVm();
    boost::asio::awaitable<void> storeOutage();
    boost::asio::awaitable<void> storeSlow();
    boost::asio::awaitable<void> storeLosesAnswers();
    boost::asio::awaitable<void> cutStoreLink();
    boost::asio::awaitable<void> replicaLies();
    boost::asio::awaitable<void> replaceReplica(bool drains);
    boost::asio::awaitable<void> cutReplicaLink();
    boost::asio::awaitable<void> pause(Milliseconds shortest, Milliseconds longest);
    std::size_t drawn(std::size_t count) { return m_random() % count; }
    void note(const std::string &what);

    Deployment &m_deployment;
    std::mt19937_64 m_random;
    std::chrono::steady_clock::time_point m_begun;
    int m_underWay = 0;
    std::vector<std::string> m_history;
};

} // namespace boragepath::soak
