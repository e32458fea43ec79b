#pragma once

#include "backends/call_forwarder.h"
#include "backends/replica_connection.h"
#include "control/call_scheduler.h"
#include "control/ledger_relay.h"
#include "control/program_ledger.h"
#include "control/replica_table.h"
#include "control/row_sweeper.h"
#include "control/store_health.h"
#include "control/turn_archive.h"
#include "control/vm_directory.h"
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

/** Timers of an io_context; tasks run on its thread. */
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
 * One boragepathd on the users' platform.
 *
 * The control thread decides and speaks with the store and other VMs; the
 * traffic thread owns the connections of callers and replicas.
 */
class PlatformDaemon
{
public:
    /** Binds all sockets; throws std::runtime_error if it cannot. */
    PlatformDaemon(platform::NodeSettings settings, std::optional<std::uint16_t> metricsPort,
                   std::uint64_t seed);

    /** Runs until a planned stop has ended. */
    void run();

private:
    void waitForSignal();
    void reload();
    void beginStop();
    void finishStop();
    void setRouteTable(std::shared_ptr<const RouteTable> table);
    void registerSelf();
    void readVms();
    void dropIfGone(const StoreRow &row, const VmEntry &entry);
    void tellOthers();
    void askForRegistry();
    void sendRegistry(const Endpoint &to);
    void sendNews(const Endpoint &to, bool wantsNews);
    void sendLedgerNote(const Endpoint &to, const peers::LedgerNote &note);
    void receive(const peers::Envelope &envelope);
    void closeStaleLinks();
    boost::asio::awaitable<void> resolve(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> passStoreCallOn(const HttpRequest &request,
                                                 HttpResponder &responder);
    boost::asio::awaitable<void> answerReady(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> answerMetrics(const HttpRequest &request,
                                               HttpResponder &responder);
    RowName ownRow() const;

    platform::NodeSettings m_settings;
    SystemClock m_clock;
    boost::asio::io_context m_control{1};
    boost::asio::io_context m_traffic{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_trafficWork;
    boost::asio::signal_set m_signals;
    AsioTimers m_timers;
    AsioTimers m_trafficTimers;

    StoreHealth m_health;
    platform::StoreClient m_store;
    ReplicaTable m_replicas;
    ProgramLedger m_ledger;
    TurnArchive m_turns;
    VmDirectory m_vms;
    BudgetGrants m_grants;
    LedgerRelay m_ledgerRelay;
    CallScheduler m_scheduler;
    RowSweeper m_sweeper;
    platform::RegistryReader m_registry;
    PeerSocket m_peers;

    ForwardCounters m_counters;
    ReplicaConnectionPool m_replicaConnections;
    CallForwarder m_forwarder;
    platform::FrontServer m_front;
    HttpServer m_directoryServer;
    HttpServer m_readyServer;
    /** Store calls of VMs that the store turns away; on the control thread. */
    HttpServer m_detourServer;
    std::optional<HttpServer> m_metricsServer;
    std::atomic<bool> m_ready = false;
    std::optional<SteadyTime> m_stopBegan;
    /** VMs with a row that are not heard of, and since when. */
    std::map<VmId, SteadyTime> m_silentVms;
};

} // namespace boragepath
