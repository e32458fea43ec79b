#pragma once

#include "core/clock.h"
#include "soak/fleet.h"
#include "soak/organisations.h"
#include "standin/link_proxy.h"
#include "standin/platform_replica.h"
#include "standin/row_server.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace boragepath::soak {

/** A replica and the proxy in front of it. A new replica may take its place there. */
struct ReplicaSite
{
    /** Where the replica listens. */
    Endpoint realEndpoint;
    /** Where the proxy listens; the replica is registered under this endpoint. */
    Endpoint linkEndpoint;
    std::unique_ptr<PlatformReplica> replica;
    std::unique_ptr<LinkProxy> link;
    std::string service;
    std::int64_t startedAtMillis = 0;
    /** It is about to be replaced. */
    bool leaving = false;
    /** Its registration says that it drains. */
    bool draining = false;
    /** Its registration is gone although it still serves. */
    bool unregistered = false;
};

/** How a replica leaves; all but a crash say so in their answers and go on serving for a while. */
enum class Departure {
    Crash,
    /** Its registration says that it drains. */
    Drain,
    /** Its registration says that it is ready until it stops. */
    StaysReady,
    /** Its registration is removed. */
    Unregister,
};

/** What replaces a replica. */
struct Replacement
{
    Departure departure = Departure::Crash;
    std::string version;
    /** It starts again under the id that it had. */
    bool keepsId = false;
};

/** All components into which faults can be injected. */
struct Deployment
{
    boost::asio::io_context &context;
    Fleet &fleet;
    RowServer &store;
    /** One proxy per VM, between the VM and the store. */
    std::vector<std::unique_ptr<LinkProxy>> storeLinks;
    std::vector<ReplicaSite> replicas;
    PlatformReplica::OnRequestRun onRequestRun;
    std::function<void(const std::string &replica, std::size_t site)> onReplicaStart;
    /** A run at a replica ended; @p brokeOff if the replica was stopped before. */
    std::function<void(const HttpRequest &request, const std::string &replica, bool brokeOff)>
        onRunEnd;
    /** The replica of a site, or the link to it, begins or ceases to be disrupted. */
    std::function<void(std::size_t site, bool begins)> onSiteDisruption;
    /** All VMs were killed at the same moment. */
    std::function<void()> onPowerLoss;
    /** Long after a loss of power; callers go on with what they left then. */
    std::function<void()> onRecovered;
    std::function<void(const std::string &replica, std::optional<double> limit)> onLimit;
    /** Ends the process of a replica that runs a request which crashes it. */
    std::function<void(const std::string &replica)> onReplicaCrash;
    /** The store, or only the link of one VM to it, begins or ceases to be disrupted. */
    std::function<void(std::optional<std::size_t> vm, bool begins)> onStoreDisruption;
    /** A request arrived at a replica, which may refuse it. */
    PlatformReplica::OnRequestRun onReceive;
    /** The store confirmed a version of the configuration with these organisations. */
    std::function<void(const std::vector<OrganisationEntry> &entries)> onConfiguration;
    /** Empty for a deployment without organisations. */
    std::vector<SoakOrganisation> organisations;
    std::int64_t configurationVersion = 0;
    std::uint64_t nextReplica = 1;
    std::uint64_t seed = 0;
};

/** Writes the next version of the configuration to the store, as an operator does. */
void writeConfiguration(Deployment &deployment);
/** Returns an id that no replica had before. */
std::string newReplicaId(Deployment &deployment);
/** Starts a replica at the endpoint of a site, and registers it. */
void startReplica(Deployment &deployment, std::size_t site, const ReplicaIdentity &identity);
/** Renews the registrations of all running replicas periodically until @p stopped is set. */
boost::asio::awaitable<void> renewRegistrations(Deployment &deployment, const bool &stopped);

/** Injects random faults into a deployment, several of which overlap; the seed decides which. */
class FaultInjector
{
public:
    FaultInjector(Deployment &deployment, std::uint64_t seed);

    /** Injects faults for @p duration; returns when all of them have been undone. */
    boost::asio::awaitable<void> run(Duration duration);
    /**
     * Does nothing but planned work for @p duration: VMs are stopped one after the other, while
     * settings and configurations change in series and replicas are replaced.
     */
    boost::asio::awaitable<void> runPlannedWork(Duration duration);
    /** All VMs, or several, are killed at the same moment; nothing else happens around it. */
    boost::asio::awaitable<void> runPowerLosses(Duration duration);
    const std::vector<std::string> &history() const { return m_history; }

private:
    using FaultAction = std::function<boost::asio::awaitable<void>()>;

    boost::asio::awaitable<void> injectRandomFault();
    std::vector<FaultAction> faultActions();
    std::vector<FaultAction> organisationFaultActions();
    /** Takes one key of an organisation away, or all of them, and gives them back later. */
    boost::asio::awaitable<void> withdrawKeys(bool all);
    /** An organisation is removed for some time; one that was absent is added. */
    boost::asio::awaitable<void> toggleOrganisation();
    boost::asio::awaitable<void> changeQuota();
    /** An organisation sends many times its usual load. */
    boost::asio::awaitable<void> multiplyLoad();
    SoakOrganisation &randomOrganisation();
    boost::asio::awaitable<void> keepConfiguration(std::string event);
    boost::asio::awaitable<void> restartVm(std::size_t vm);
    boost::asio::awaitable<void> killVms(std::size_t count);
    boost::asio::awaitable<void> pauseVm();
    boost::asio::awaitable<void> terminateVm();
    /** Stops a VM as planned, and starts it again as soon as its process is gone. */
    boost::asio::awaitable<void> replaceVm(std::size_t vm);
    boost::asio::awaitable<void> replaceVmsUntil(SteadyTime end);
    /** Several VMs are stopped one after the other. */
    boost::asio::awaitable<void> replaceSomeVms();
    boost::asio::awaitable<void> changeInSeriesUntil(SteadyTime end);
    /** Some settings are read again and some configurations written, with short pauses. */
    boost::asio::awaitable<void> changeInSeries();
    boost::asio::awaitable<void> replaceReplicasUntil(SteadyTime end);
    boost::asio::awaitable<void> losePower();
    void reloadAnyVm();
    boost::asio::awaitable<void> injectStoreOutage();
    boost::asio::awaitable<void> slowDownStore();
    boost::asio::awaitable<void> loseStoreAnswers();
    boost::asio::awaitable<void> disruptStoreLink();
    boost::asio::awaitable<void> injectReplicaFault();
    boost::asio::awaitable<void> replaceReplica(std::size_t index, Replacement replacement);
    boost::asio::awaitable<void> replaceAnyReplica(Departure departure);
    /** Replaces many replicas of the engine by another version, one or several at a time. */
    boost::asio::awaitable<void> rollOutVersion();
    boost::asio::awaitable<void> announceDeparture(ReplicaSite &site, Departure departure);
    Departure randomDeparture();
    boost::asio::awaitable<void> disruptReplicaLink();
    /** Some replicas, or all of a service, name a limit for some seconds. */
    boost::asio::awaitable<void> limitReplicas();
    /** Ends the process of the replica of that id, if it runs. */
    void crashReplica(const std::string &id);
    void nameLimit(std::size_t index, std::optional<double> limit);
    boost::asio::awaitable<void> sleepRandomly(Milliseconds shortest, Milliseconds longest);
    std::size_t randomIndex(std::size_t count) { return m_random() % count; }
    void logEvent(const std::string &event);
    /** Runs a task beside others; waitForFaultsToEnd() waits for its end. */
    void spawn(boost::asio::awaitable<void> task);
    boost::asio::awaitable<void> waitForFaultsToEnd();

    Deployment &m_deployment;
    std::mt19937_64 m_random;
    std::chrono::steady_clock::time_point m_startedAt;
    int m_activeFaults = 0;
    int m_versions = 1;
    std::vector<std::string> m_history;
};

} // namespace boragepath::soak
