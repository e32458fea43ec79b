#pragma once

#include "backends/call_forwarder.h"
#include "backends/replica_connection.h"
#include "control/call_scheduler.h"
#include "control/ledger_relay.h"
#include "control/outage/budget_lenders.h"
#include "control/program_ledger.h"
#include "control/quarantine_rows.h"
#include "control/replica_table.h"
#include "control/row_sweeper.h"
#include "control/store_health.h"
#include "control/turn_archive.h"
#include "control/vm_directory.h"
#include "control/vm_membership.h"
#include "net/http_server.h"
#include "peers/peer_socket.h"
#include "platform/front_server.h"
#include "platform/registry_reader.h"
#include "platform/settings_file.h"
#include "platform/store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <optional>

namespace boragepath {

/** One-shot timers on an io_context; tasks run on the thread that runs the context. */
class AsioTimers final : public Timers
{
public:
    explicit AsioTimers(boost::asio::io_context &context)
        : m_context(context)
    { }
    void after(Duration delay, std::function<void()> task) override;

private:
    boost::asio::io_context &m_context;
};

/**
 * The daemon that runs on one VM of the users' platform.
 *
 * The control thread makes all scheduling decisions and communicates with the
 * store and other VMs; the traffic thread owns the connections of callers and
 * replicas.
 */
class PlatformDaemon
{
public:
    /**
     * Binds all sockets.
     *
     * @param metricsPort port that serves /metrics; none if absent.
     * @param seed seeds all random choices of this process.
     * @throws std::runtime_error if a socket cannot be bound.
     */
    PlatformDaemon(platform::NodeSettings settings, std::optional<std::uint16_t> metricsPort,
                   std::uint64_t seed);

    /** Runs until a planned stop has completed. */
    void run();

private:
    void waitForSignal();
    void reload();
    void beginStop();
    void setStopPlan(const StopPlan &plan);
    void stopWhenIdle();
    void releaseLenderPartitions();
    void setRouteTable(std::shared_ptr<const RouteTable> table);
    void requestRegistryCopy();
    void sendRegistryCopy(const Endpoint &to, std::optional<std::int64_t> askedAtMillis);
    void loadRegistryCopy(const peers::RegistryCopy &copy);
    /** Adds the sender to an envelope and sends it. */
    /** Returns a function that sends one kind of note to another VM, in a datagram of its own. */
    template <auto SetNote> auto noteSender();
    void sendToPeer(const Endpoint &to, peers::Envelope envelope);
    void receive(const peers::Envelope &envelope);
    void closeExpiredConnections();
    boost::asio::awaitable<void> serveAddresses(const HttpRequest &request,
                                                HttpResponder &responder);
    boost::asio::awaitable<void> serveStoreCallForPeer(const HttpRequest &request,
                                                       HttpResponder &responder);
    boost::asio::awaitable<void> serveReadiness(const HttpRequest &request,
                                                HttpResponder &responder);
    boost::asio::awaitable<void> serveMetrics(const HttpRequest &request, HttpResponder &responder);

    platform::NodeSettings m_settings;
    SystemClock m_clock;
    boost::asio::io_context m_control{1};
    boost::asio::io_context m_traffic{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_trafficWork;
    boost::asio::signal_set m_signals;
    AsioTimers m_timers;
    AsioTimers m_trafficTimers;

    StoreHealth m_health;
    ReceiveBudget m_receivedFromStore;
    platform::StoreClient m_store;
    ConfigurationLease m_lease;
    ReplicaTable m_replicas;
    ProgramLedger m_ledger;
    TurnArchive m_turns;
    VmDirectory m_vms;
    VmMembership m_membership;
    BudgetLenders m_lenders;
    BudgetGrants m_grants;
    LedgerRelay m_ledgerRelay;
    StreamOrigins m_streams;
    StreamOutputs m_outputs;
    ReplicaLimits m_limits;
    SendPermits m_permits;
    RequestQuarantine m_quarantine;
    QuarantineRows m_quarantineRows;
    OrganisationQuotas m_quotas;
    CallScheduler m_scheduler;
    RowSweeper m_sweeper;
    platform::RegistryReader m_registry;
    PeerSocket m_peers;

    ForwardCounters m_counters;
    ReplicaConnectionPool m_replicaConnections;
    ReceiveBudget m_receivedFromReplicas;
    CallForwarder m_forwarder;
    platform::FrontServer m_front;
    HttpServer m_directoryServer;
    HttpServer m_readyServer;
    /** Forwards store calls for VMs that the store refuses; runs on the control thread. */
    HttpServer m_storeProxyServer;
    std::optional<HttpServer> m_metricsServer;
    std::atomic<bool> m_ready = false;
    std::optional<StopPlan> m_stop;
    /** The calls that were left at the end of the stop have been broken off. */
    bool m_callsBrokenOff = false;
};

} // namespace boragepath
