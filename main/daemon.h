#pragma once

#include "callers/call_gateway.h"
#include "callers/caller_api.h"
#include "control/node.h"
#include "core/metrics.h"
#include "net/http_server.h"
#include "net/receive_budget.h"
#include "operators/operator_api.h"
#include "peers/peer_socket.h"
#include "platform/table_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace boragepath {

/**
 * The boragepathd process: runs the control core on its own thread and the sockets on others.
 *
 * Executes the effects that the core requests and delivers events to it; makes no scheduling
 * decisions itself.
 */
class Daemon final : public Effects, public CallGateway
{
public:
    /**
     * Binds all sockets.
     *
     * @param seed seeds all random choices of the control core.
     * @throws std::runtime_error if a socket cannot be bound or the TLS files cannot be loaded.
     */
    Daemon(Settings settings, std::uint64_t seed);
    ~Daemon() override;

    /** Runs until a planned stop has completed. */
    void run();
    /** Begins a planned stop; may be called from any thread. */
    void stop();

    // Effects: called on the control thread.
    void transact(std::uint64_t id, const Transaction &transaction) override;
    void read(std::uint64_t id, const RangeRequest &request) override;
    void sendDatagram(const Endpoint &to, const peers::Envelope &envelope) override;
    void dispatch(CallHandle handle, const BackendCall &call) override;
    void answer(CallHandle handle, const CallAnswer &answer) override;
    void relay(CallHandle handle, const Endpoint &owner) override;
    void releaseMemory(std::uint64_t id, const ReplicaSettings &replica,
                       const ProgramKey &program) override;
    void queryHeldPrograms(std::uint64_t id, const ReplicaSettings &replica) override;
    void log(std::string_view event, const std::string &detail) override;

    // CallGateway: called on traffic threads.
    CallHandle submit(CallRequest request, std::shared_ptr<CallChannel> channel) override;
    void endProgram(ProgramKey program, std::string bearerKey, bool relayed,
                    std::shared_ptr<CallChannel> channel) override;
    void reportBackendOutcome(CallHandle handle, BackendOutcome outcome) override;
    void postToControlThread(std::function<void(Node &)> task) override;
    const Settings &settings() const override { return m_settings; }
    const Clock &clock() const override { return m_clock; }

private:
    void scheduleTick();
    void stopWhenIdle();
    void sendEvent(CallHandle handle, CallEvent event, bool last);
    boost::asio::awaitable<void> serve(const HttpRequest &request, HttpResponder &responder);
    std::string processMetrics() const;

    Settings m_settings;
    SystemClock m_clock;
    Metrics m_metrics;
    boost::asio::io_context m_control;
    boost::asio::io_context m_traffic;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_controlWork;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_trafficWork;
    boost::asio::steady_timer m_tickTimer;
    TableClient m_table;
    PeerSocket m_peers;
    Node m_node;
    ReceiveBudget m_receivedFromBackends;
    CallerApi m_callerApi;
    OperatorApi m_operatorApi;
    HttpServer m_server;
    std::map<CallHandle, std::shared_ptr<CallChannel>> m_channels;
    std::atomic<std::uint64_t> m_nextHandle = 1;
    std::vector<std::thread> m_threads;
    /** When the control core completed the planned stop; only answers are left to be sent. */
    std::optional<SteadyTime> m_shutdownStarted;
};

/**
 * Loads the certificate chain and the private key of the server.
 *
 * Fails if a file cannot be read or if the key file is accessible to other users than its owner.
 */
absl::StatusOr<std::shared_ptr<boost::asio::ssl::context>>
loadTls(const std::string &certificateFile, const std::string &keyFile);

} // namespace boragepath
