#include "main/daemon.h"

#include "backends/backend_client.h"
#include "callers/answers.h"
#include "core/logging.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <filesystem>
#include <stdexcept>
#include <sys/resource.h>

namespace boragepath {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds TickInterval{10};
constexpr Milliseconds ShutdownPollInterval{20};
/** Limit for the calls that were relayed to other VMs, and for sending the last answers to their
 * callers, during a planned stop. As long as a VM waits for its own calls before it leaves. */
constexpr Seconds ShutdownTimeout{600};
constexpr Milliseconds LeftRetryAfter{1'000};

HttpLimits httpLimitsOf(const Settings &settings)
{
    HttpLimits limits;
    limits.maxBodyBytes = settings.maxBodyBytes;
    limits.maxConnections = settings.maxConnections;
    limits.idleTimeout = settings.connectionIdleTimeout;
    return limits;
}

double secondsOf(const timeval &time)
{
    constexpr double MicrosPerSecond = 1e6;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / MicrosPerSecond;
}

} // namespace

absl::StatusOr<std::shared_ptr<asio::ssl::context>> loadTls(const std::string &certificateFile,
                                                            const std::string &keyFile)
{
    std::error_code statusError;
    const auto permissions = std::filesystem::status(keyFile, statusError).permissions();
    constexpr auto GroupAndOthers =
        std::filesystem::perms::group_all | std::filesystem::perms::others_all;
    if (statusError) {
        return absl::NotFoundError(absl::StrCat(keyFile, ": cannot be read"));
    }
    if ((permissions & GroupAndOthers) != std::filesystem::perms::none) {
        return absl::PermissionDeniedError(absl::StrCat(
            keyFile, ": is accessible to group or other users; restrict it to its owner"));
    }
    auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
    boost::system::error_code error;
    context->set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_tlsv1
                             | asio::ssl::context::no_tlsv1_1,
                         error);
    context->use_certificate_chain_file(certificateFile, error);
    if (error) {
        return absl::InvalidArgumentError(absl::StrCat(certificateFile, ": ", error.message()));
    }
    context->use_private_key_file(keyFile, asio::ssl::context::pem, error);
    if (error) {
        return absl::InvalidArgumentError(absl::StrCat(keyFile, ": ", error.message()));
    }
    return context;
}

Daemon::Daemon(Settings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_control(1)
    , m_controlWork(asio::make_work_guard(m_control))
    , m_trafficWork(asio::make_work_guard(m_traffic))
    , m_tickTimer(m_control)
    , m_table(m_traffic, m_settings.table, m_settings.tableTimeout)
    , m_peers(m_control, m_settings.peers, m_settings.peerSecret,
              [this](const peers::Envelope &envelope) { m_node.onDatagram(envelope); })
    , m_node(m_settings, m_clock, *this, seed)
    , m_receivedFromBackends(receiveLimitFor(0))
    , m_callerApi(*this, m_metrics, m_receivedFromBackends)
    , m_operatorApi(*this, m_metrics, [this] { return processMetrics(); })
    , m_server(m_traffic, httpLimitsOf(m_settings),
               [this](const HttpRequest &request, HttpResponder &responder) {
                   return serve(request, responder);
               })
{
    if (!m_settings.tlsKeyFile.empty()) {
        const auto tls = loadTls(m_settings.tlsCertificateFile, m_settings.tlsKeyFile);
        if (!tls.ok()) {
            throw std::runtime_error(std::string(tls.status().message()));
        }
        m_server.setTlsContext(*tls);
    }
    m_server.listen(m_settings.callers);
}

Daemon::~Daemon()
{
    m_control.stop();
    m_traffic.stop();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

void Daemon::run()
{
    for (std::uint32_t count = 0; count < m_settings.trafficThreads; ++count) {
        m_threads.emplace_back([this] { m_traffic.run(); });
    }
    asio::post(m_control, [this] {
        m_node.start();
        scheduleTick();
    });
    m_control.run();
}

void Daemon::stop()
{
    m_server.drain();
    asio::post(m_control, [this] { m_node.leave(); });
}

void Daemon::scheduleTick()
{
    m_tickTimer.expires_after(TickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        m_node.tick();
        if (m_node.left()) {
            stopWhenIdle();
            return;
        }
        scheduleTick();
    });
}

void Daemon::stopWhenIdle()
{
    if (!m_shutdownStarted.has_value()) {
        m_shutdownStarted = m_clock.now();
        // Requests that come on open connections would be relayed and then cut.
        m_server.close(refusalResponse(
            makeRefusal(Verdict::NotRun, Reason::Leaving, "this VM has left", LeftRetryAfter),
            CallNumber()));
    }
    // Answers that the control core has produced must still be sent to their callers, and calls
    // that were relayed to other VMs are still under way.
    if (m_server.isClosed() || m_clock.now() >= *m_shutdownStarted + ShutdownTimeout) {
        LogLine("stopped").add("calls", m_server.requestsInFlight()).info();
        m_control.stop();
        return;
    }
    m_tickTimer.expires_after(ShutdownPollInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code &) { stopWhenIdle(); });
}

// --- Effects ---------------------------------------------------------------

void Daemon::transact(std::uint64_t id, const Transaction &transaction)
{
    const SteadyTime started = m_clock.now();
    m_table.transact(transaction, [this, id, started](const TransactionOutcome &outcome) {
        const auto elapsed = std::chrono::duration<double>(m_clock.now() - started);
        m_metrics.observe("boragepath_table_transaction_seconds", elapsed.count());
        asio::post(m_control, [this, id, outcome] { m_node.onTransaction(id, outcome); });
    });
}

void Daemon::read(std::uint64_t id, const RangeRequest &request)
{
    m_table.read(request, [this, id](const RangeOutcome &outcome) {
        asio::post(m_control, [this, id, outcome] { m_node.onRange(id, outcome); });
    });
}

void Daemon::sendDatagram(const Endpoint &to, const peers::Envelope &envelope)
{
    m_peers.send(to, envelope);
}

void Daemon::sendEvent(CallHandle handle, CallEvent event, bool last)
{
    const auto found = m_channels.find(handle);
    if (found == m_channels.end()) {
        return;
    }
    found->second->try_send(boost::system::error_code(), std::move(event));
    if (last) {
        m_channels.erase(found);
    }
}

void Daemon::dispatch(CallHandle handle, const BackendCall &call)
{
    sendEvent(handle, call, false);
}

void Daemon::answer(CallHandle handle, const CallAnswer &answer)
{
    sendEvent(handle, answer, true);
}

void Daemon::relay(CallHandle handle, const Endpoint &owner)
{
    sendEvent(handle, owner, true);
}

void Daemon::releaseMemory(std::uint64_t id, const ReplicaSettings &replica,
                           const ProgramKey &program)
{
    const Endpoint endpoint = replica.endpoint;
    asio::co_spawn(
        asio::make_strand(m_traffic),
        [this, id, endpoint, program]() -> asio::awaitable<void> {
            const bool acknowledged =
                co_await releaseAtBackend(endpoint, program, m_receivedFromBackends);
            asio::post(m_control, [=, this] { m_node.onReleased(id, acknowledged); });
        },
        asio::detached);
}

void Daemon::queryHeldPrograms(std::uint64_t id, const ReplicaSettings &replica)
{
    const Endpoint endpoint = replica.endpoint;
    asio::co_spawn(
        asio::make_strand(m_traffic),
        [this, id, endpoint]() -> asio::awaitable<void> {
            const BackendStatus status =
                co_await readBackendStatus(endpoint, m_receivedFromBackends);
            asio::post(m_control, [=, this] {
                m_node.onHeldPrograms(id, status.answered, status.leaving, status.held);
            });
        },
        asio::detached);
}

void Daemon::log(std::string_view event, const std::string &detail)
{
    LogLine(event).add("detail", detail).info();
}

// --- CallGateway -----------------------------------------------------------

CallHandle Daemon::submit(CallRequest request, std::shared_ptr<CallChannel> channel)
{
    const CallHandle handle(m_nextHandle++);
    request.handle = handle;
    asio::post(m_control, [this, request = std::move(request), channel]() mutable {
        m_channels[request.handle] = channel;
        m_node.submit(std::move(request));
    });
    return handle;
}

void Daemon::endProgram(ProgramKey program, std::string bearerKey, bool relayed,
                        std::shared_ptr<CallChannel> channel)
{
    const CallHandle handle(m_nextHandle++);
    asio::post(m_control, [=, this] {
        m_channels[handle] = channel;
        m_node.endProgram(handle, program, bearerKey, relayed, [=, this](const Refusal &result) {
            CallAnswer answer;
            answer.refusal = result;
            sendEvent(handle, answer, true);
        });
    });
}

void Daemon::reportBackendOutcome(CallHandle handle, BackendOutcome outcome)
{
    asio::post(m_control, [this, handle, outcome = std::move(outcome)] {
        m_node.onBackendOutcome(handle, outcome);
    });
}

void Daemon::postToControlThread(std::function<void(Node &)> task)
{
    asio::post(m_control, [this, task = std::move(task)] { task(m_node); });
}

asio::awaitable<void> Daemon::serve(const HttpRequest &request, HttpResponder &responder)
{
    if (m_operatorApi.handles(request)) {
        co_await m_operatorApi.handle(request, responder);
        co_return;
    }
    co_await m_callerApi.handle(request, responder);
}

std::string Daemon::processMetrics() const
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return formatCounter("boragepath_peer_bytes_sent_total", m_peers.bytesSent())
        + formatCounter("boragepath_peer_bytes_received_total", m_peers.bytesReceived())
        + formatCounter("boragepath_peer_datagrams_rejected_total", m_peers.rejectedDatagrams())
        + formatGauge("boragepath_cpu_seconds_total",
                      secondsOf(usage.ru_utime) + secondsOf(usage.ru_stime))
        + formatGauge("boragepath_max_resident_kilobytes", static_cast<double>(usage.ru_maxrss));
}

} // namespace boragepath
