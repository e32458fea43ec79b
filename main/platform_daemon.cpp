#include "main/platform_daemon.h"

#include "core/json_access.h"
#include "core/logging.h"
#include "core/metrics.h"
#include "net/control_call.h"
#include "platform/call_codec.h"

#include <absl/strings/str_cat.h>

#include <csignal>
#include <thread>

namespace boragepath {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Milliseconds CopyRequestInterval{400};
constexpr Milliseconds ExpiryCheckInterval{2'000};
constexpr Milliseconds StopCheckInterval{50};
/** A planned stop lasts at least this long: callers use an address for up to three times its time
 * to live after it was withdrawn. */
constexpr Milliseconds MinStopDuration{3'600};
/** Conversations may use 1/64 of the VM's memory, which holds a few hundred that continue on this
 * VM. */
constexpr std::size_t ConversationMemoryDivisor = 64;
/** Limits of replicas that one datagram of gossip tells of; each takes some 15 bytes. */
constexpr std::size_t MaxLimitsPerDatagram = 8;
/** Requests under which replicas have ended that one datagram of gossip tells of; each takes some
 * 50 bytes. */
constexpr std::size_t MaxCrashNewsPerDatagram = 12;
constexpr std::int64_t BytesPerMegabyte = 1'048'576;
/** Allows for clocks of VMs and of the store that run at slightly different rates. */
constexpr Milliseconds LeaseMargin{100};
/** Requests to the directory, for readiness and for metrics have no bodies. */
constexpr std::int64_t MaxInternalBodyBytes = 16'384;
/** The store takes calls of 1 MB. */
constexpr std::int64_t MaxStoreCallBytes = 2 * BytesPerMegabyte;
constexpr unsigned Unavailable = 503;
constexpr unsigned NotFound = 404;

VmEntry selfEntry(const platform::NodeSettings &settings, const Clock &clock)
{
    VmEntry entry;
    entry.vm = settings.vm;
    entry.front = settings.front;
    entry.peers = settings.peers;
    entry.zone = settings.zone;
    entry.incarnation = unixMillis(clock.wallNow());
    return entry;
}

/** How long the API keys of a configuration may be relied on after it was read. */
std::optional<Duration> leaseTerm(const platform::NodeSettings &settings)
{
    if (!settings.revocationBound.has_value()) {
        return std::nullopt;
    }
    return std::max(Milliseconds(0), *settings.revocationBound - LeaseMargin);
}

std::int64_t bootMillis(BootTime time)
{
    return toMillis(time.time_since_epoch());
}

/** Where the VMs that the settings name receive datagrams; the ports are the same on all VMs. */
std::vector<Endpoint> seedEndpoints(const platform::NodeSettings &settings)
{
    std::vector<Endpoint> result;
    for (const std::string &address : settings.seedAddresses) {
        const Endpoint endpoint{address, settings.peers.port};
        if (endpoint != settings.peers) {
            result.push_back(endpoint);
        }
    }
    return result;
}

/** What the process may use; 0 if the settings don't say it. */
std::size_t memoryBytes(const platform::NodeSettings &settings)
{
    return static_cast<std::size_t>(settings.memoryMegabytes * BytesPerMegabyte);
}

std::size_t maxConversationBytes(const platform::NodeSettings &settings)
{
    return memoryBytes(settings) / ConversationMemoryDivisor;
}

HttpLimits internalServerLimits()
{
    HttpLimits limits;
    limits.maxConnections = 500;
    limits.maxBodyBytes = MaxInternalBodyBytes;
    limits.idleTimeout = Milliseconds(20'000);
    return limits;
}

/** For calls to the store that other VMs send through this one. */
HttpLimits storeProxyLimits(ReceiveBudget &received)
{
    HttpLimits limits = internalServerLimits();
    limits.maxBodyBytes = MaxStoreCallBytes;
    limits.received = &received;
    return limits;
}

} // namespace

void AsioTimers::after(Duration delay, std::function<void()> task)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, task = std::move(task)](const boost::system::error_code &error) {
        if (!error) {
            task();
        }
    });
}

template <auto SetNote> auto PlatformDaemon::noteSender()
{
    return [this](const Endpoint &to, const auto &note) {
        peers::Envelope envelope;
        (envelope.*SetNote)(note);
        sendToPeer(to, envelope);
    };
}

PlatformDaemon::PlatformDaemon(platform::NodeSettings settings,
                               std::optional<std::uint16_t> metricsPort, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_trafficWork(m_traffic.get_executor())
    , m_signals(m_control, SIGTERM, SIGINT, SIGHUP)
    , m_timers(m_control)
    , m_trafficTimers(m_traffic)
    , m_health(m_clock)
    , m_receivedFromStore(receiveLimitFor(memoryBytes(m_settings)))
    , m_store(m_control, m_clock, m_settings.store, m_health, m_receivedFromStore,
              [this] { return m_vms.randomVmWithStore(); })
    , m_lease(m_clock)
    , m_replicas(m_clock)
    , m_ledger(m_clock, m_timers, m_store, m_health, seed)
    , m_turns(m_clock, m_timers, m_store, m_health, maxConversationBytes(m_settings), seed)
    , m_vms(m_clock, selfEntry(m_settings, m_clock), seed)
    , m_membership(
          m_clock, m_timers, m_store, m_vms,
          [this](const Endpoint &to, const peers::Envelope &envelope) { sendToPeer(to, envelope); },
          [this] { return m_store.directRouteUnavailable(); }, seedEndpoints(m_settings), seed)
    , m_lenders(m_clock, m_timers, m_store, m_vms, m_settings.isFirstStart,
                noteSender<&peers::Envelope::__set_lendingNote>(),
                {[this] { return m_grants.hasLoans() || m_ledger.isSettlingLoans(); },
                 [this] { m_grants.onLendingGranted(); }},
                seed)
    , m_grants(m_clock, m_timers, m_ledger, m_health, incarnationName(m_vms.self()))
    , m_ledgerRelay(m_clock, m_timers, m_ledger, m_grants, m_vms,
                    noteSender<&peers::Envelope::__set_ledgerNote>())
    , m_streams(m_timers, m_replicas, m_vms, noteSender<&peers::Envelope::__set_streamOrigin>())
    , m_outputs(m_timers, m_vms, maxConversationBytes(m_settings),
                noteSender<&peers::Envelope::__set_streamOutput>())
    , m_limits(m_clock)
    , m_permits(m_clock, m_timers, m_limits, m_vms,
                noteSender<&peers::Envelope::__set_sendPermit>(), seed)
    , m_quarantine(m_clock, m_timers, m_vms, noteSender<&peers::Envelope::__set_requestCrashes>())
    , m_quarantineRows(m_clock, m_timers, m_store, m_vms, m_quarantine, seed)
    , m_quotas(m_clock, m_timers, m_vms, noteSender<&peers::Envelope::__set_quotaNote>(), seed)
    , m_scheduler({m_clock, m_timers, m_replicas, m_ledgerRelay, m_turns, m_streams, m_outputs,
                   m_vms, m_health, m_limits, m_permits, m_quarantine, m_lease, m_quotas,
                   m_settings.zone})
    , m_sweeper(
          m_clock, m_timers, m_store, m_vms,
          [this] { return maxTurnRetention(m_scheduler.routes()); }, seed)
    , m_registry(
          m_clock, m_timers, m_store, m_replicas, m_lease, KeyHasher(m_settings.peerSecret),
          [this](std::shared_ptr<const RouteTable> table) { setRouteTable(std::move(table)); },
          seed)
    , m_peers(m_control, m_settings.peers, m_settings.peerSecret,
              [this](const peers::Envelope &envelope) { receive(envelope); })
    , m_replicaConnections(m_traffic.get_executor(), m_clock)
    , m_receivedFromReplicas(receiveLimitFor(memoryBytes(m_settings)))
    , m_forwarder(m_control, m_scheduler, m_replicaConnections, m_clock, m_counters,
                  m_receivedFromReplicas)
    , m_front(m_traffic, m_settings.front, m_forwarder, m_settings.peerSecret)
    , m_directoryServer(m_traffic, internalServerLimits(),
                        [this](const HttpRequest &request, HttpResponder &responder) {
                            return serveAddresses(request, responder);
                        })
    , m_readyServer(m_traffic, internalServerLimits(),
                    [this](const HttpRequest &request, HttpResponder &responder) {
                        return serveReadiness(request, responder);
                    })
    , m_storeProxyServer(m_control, storeProxyLimits(m_receivedFromStore),
                         [this](const HttpRequest &request, HttpResponder &responder) {
                             return serveStoreCallForPeer(request, responder);
                         })
{
    m_ledger.setAuthority(
        [this](const ProgramId &program) { return m_lenders.authorityOver(program); });
    m_ledger.setTenureLog([this](const ProgramId &program, LogLine &line) {
        m_lenders.describeTenure(program, line);
    });
    m_grants.setLenders(m_lenders);
    m_ledgerRelay.setLenders(m_lenders);
    m_lease.setTerm(leaseTerm(m_settings));
    m_quotas.setTolerance(m_settings.quotaTolerance);
    m_storeProxyServer.listen(m_settings.peers);
    m_directoryServer.listen(m_settings.directory);
    m_readyServer.listen(m_settings.ready);
    if (metricsPort.has_value()) {
        m_metricsServer.emplace(m_traffic, internalServerLimits(),
                                [this](const HttpRequest &request, HttpResponder &responder) {
                                    return serveMetrics(request, responder);
                                });
        m_metricsServer->listen({m_settings.front.address, *metricsPort});
    }
}

void PlatformDaemon::run()
{
    waitForSignal();
    m_registry.start();
    m_membership.addToGossip([this](peers::Envelope &envelope) {
        envelope.__set_replicaLimits(m_limits.takeForGossip(MaxLimitsPerDatagram));
        envelope.__set_requestCrashes(m_quarantine.takeForGossip(MaxCrashNewsPerDatagram));
    });
    m_membership.start();
    m_lenders.start();
    requestRegistryCopy();
    closeExpiredConnections();
    m_sweeper.start();
    m_quarantineRows.start();
    std::thread traffic([this] { m_traffic.run(); });
    m_control.run();
    m_trafficWork.reset();
    m_traffic.stop();
    traffic.join();
}

void PlatformDaemon::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
        } else if (!m_stop.has_value()) {
            beginStop();
        }
        waitForSignal();
    });
}

void PlatformDaemon::reload()
{
    const auto settings = platform::loadNodeSettings();
    if (!settings.ok()) {
        LogLine("reload")
            .add("outcome", "kept the old settings")
            .add("cause", std::string(settings.status().message()))
            .error();
        return;
    }
    // Addresses stay the same for the lifetime of the process; the other settings are reloaded.
    if (m_stop.has_value()) {
        // The platform may kill the process after the grace of the signal or after this one.
        m_settings.stopGrace = std::min(m_settings.stopGrace, settings->stopGrace);
        setStopPlan(planStop(m_stop->startedAt, m_settings.stopGrace));
    } else {
        m_settings.stopGrace = settings->stopGrace;
    }
    m_settings.revocationBound = settings->revocationBound;
    m_lease.setTerm(leaseTerm(m_settings));
    m_settings.quotaTolerance = settings->quotaTolerance;
    m_quotas.setTolerance(m_settings.quotaTolerance);
    LogLine("reload").add("outcome", "taken").info();
}

void PlatformDaemon::beginStop()
{
    LogLine("stopping")
        .add("calls", static_cast<std::int64_t>(m_scheduler.openCalls()))
        .add("grace_ms", m_settings.stopGrace.count())
        .info();
    setStopPlan(planStop(m_clock.now(), m_settings.stopGrace));
    m_ready = false;
    m_front.drain();
    m_membership.leave();
    stopWhenIdle();
}

void PlatformDaemon::setStopPlan(const StopPlan &plan)
{
    m_stop = plan;
    m_scheduler.setStopPlan(plan);
}

void PlatformDaemon::stopWhenIdle()
{
    const SteadyTime now = m_clock.now();
    const Duration elapsed = now - m_stop->startedAt;
    if (now >= m_stop->callsEnd && !m_callsBrokenOff) {
        m_callsBrokenOff = true;
        m_scheduler.logCutCalls();
        m_front.close();
        m_front.breakOffCalls();
    }
    const bool isEnding = elapsed >= MinStopDuration || m_callsBrokenOff;
    const bool allAnswered = m_front.requestsInFlight() == 0;
    if (allAnswered && isEnding) {
        m_grants.releaseAll();
    }
    m_ledger.flush();
    releaseLenderPartitions();
    const bool idle = m_lenders.isReleased() && allAnswered && m_ledger.pending() == 0
        && m_turns.pending() == 0 && m_ledgerRelay.unconfirmedSettlements() == 0;
    if (idle && isEnding) {
        // A request may have been read since the check above: it is served, and no further ones.
        m_front.close();
    }
    if ((idle && m_front.isClosed()) || now >= m_stop->processEnd) {
        LogLine("stopped")
            .add("calls", m_front.requestsInFlight())
            .add("ms", toMillis(elapsed))
            .add("pending", static_cast<std::int64_t>(m_ledger.pending() + m_turns.pending()))
            .info();
        m_control.stop();
        return;
    }
    m_timers.after(StopCheckInterval, [this] { stopWhenIdle(); });
}

/** Stays a lender until the rows contain what it has lent: others would not know of it. */
void PlatformDaemon::releaseLenderPartitions()
{
    const bool isSettled = !m_grants.hasLoans() && !m_ledger.isSettlingLoans();
    if (m_lenders.isReleased() || m_health.unavailable() || !isSettled) {
        return;
    }
    m_lenders.giveUp();
    if (!m_ledger.isReserving()) {
        m_lenders.release(m_grants.programsUsedSince(m_lenders.oldestRecentUse()));
    }
}

void PlatformDaemon::setRouteTable(std::shared_ptr<const RouteTable> table)
{
    const std::int64_t previousVersion =
        m_scheduler.routes() == nullptr ? 0 : m_scheduler.routes()->version.value();
    if (!m_scheduler.setRouteTable(table)) {
        return;
    }
    LogLine("configuration")
        .add("version", table->version.value())
        .add("before", previousVersion)
        .add("outcome", "in force")
        .info();
    if (storesTurns(*table)) {
        m_lenders.storeTurns();
    }
    m_ready = !m_stop.has_value();
    m_vms.markStarted();
    asio::post(m_traffic, [this, limits = table->limits] { m_front.setLimits(limits); });
}

/**
 * Asks other VMs for their copy of the registry.
 *
 * A VM that starts while the store is unavailable gets its configuration this way.
 */
void PlatformDaemon::requestRegistryCopy()
{
    if (m_scheduler.routes() != nullptr) {
        return;
    }
    peers::Envelope envelope;
    envelope.__set_wantsRegistry(true);
    envelope.__set_registryAskedAtMillis(bootMillis(m_clock.bootNow()));
    if (const auto to = m_vms.randomLiveVm(); to.has_value()) {
        sendToPeer(*to, envelope);
    }
    m_timers.after(CopyRequestInterval, [this] { requestRegistryCopy(); });
}

void PlatformDaemon::sendRegistryCopy(const Endpoint &to, std::optional<std::int64_t> askedAtMillis)
{
    const platform::RegistryCopy &copy = m_registry.copy();
    if (copy.configuration.empty()) {
        return;
    }
    peers::RegistryCopy message;
    message.configuration = copy.configuration;
    message.registrations = copy.registrations;
    const std::optional<Duration> age = m_lease.age();
    if (age.has_value() && askedAtMillis.has_value()) {
        // Rounded up, so that the other VM does not rely on the copy for longer than this one.
        message.__set_ageMillis(toMillis(*age) + 1);
        message.__set_askedAtMillis(*askedAtMillis);
    }
    peers::Envelope envelope;
    envelope.__set_registryCopy(message);
    sendToPeer(to, envelope);
}

void PlatformDaemon::loadRegistryCopy(const peers::RegistryCopy &copy)
{
    std::optional<BootTime> confirmedAt;
    if (copy.__isset.ageMillis && copy.__isset.askedAtMillis && copy.ageMillis >= 0) {
        // The copy was made after the question, so that it is at most this old.
        confirmedAt = BootTime(Milliseconds(copy.askedAtMillis) - Milliseconds(copy.ageMillis));
    }
    m_registry.loadCopy({copy.configuration, copy.registrations}, confirmedAt);
}

void PlatformDaemon::sendToPeer(const Endpoint &to, peers::Envelope envelope)
{
    envelope.vm = m_settings.vm.value();
    envelope.__set_replyTo(m_settings.peers.text());
    m_peers.send(to, envelope);
}

void PlatformDaemon::receive(const peers::Envelope &envelope)
{
    const auto sender = parseEndpoint(envelope.replyTo);
    if (envelope.__isset.ledgerNote && sender.ok()) {
        m_ledgerRelay.receive(*sender, envelope.ledgerNote);
    }
    if (envelope.__isset.lendingNote && sender.ok()) {
        m_lenders.receive(*sender, envelope.lendingNote);
    }
    if (envelope.__isset.streamOrigin && sender.ok()) {
        m_streams.receive(*sender, envelope.streamOrigin);
    }
    if (envelope.__isset.streamOutput && sender.ok()) {
        m_outputs.receive(*sender, envelope.streamOutput);
    }
    if (envelope.__isset.replicaLimits) {
        m_limits.receive(envelope.replicaLimits);
    }
    if (envelope.__isset.requestCrashes) {
        m_quarantine.receive(envelope.requestCrashes);
    }
    if (envelope.__isset.sendPermit && sender.ok()) {
        m_permits.receive(*sender, envelope.sendPermit);
    }
    if (envelope.__isset.quotaNote && sender.ok()) {
        m_quotas.receive(*sender, envelope.quotaNote);
    }
    if (envelope.__isset.registryCopy) {
        loadRegistryCopy(envelope.registryCopy);
    }
    if (envelope.wantsRegistry && sender.ok()) {
        sendRegistryCopy(*sender,
                         envelope.__isset.registryAskedAtMillis
                             ? std::optional(envelope.registryAskedAtMillis)
                             : std::nullopt);
    }
    m_membership.receive(envelope);
}

void PlatformDaemon::closeExpiredConnections()
{
    m_trafficTimers.after(ExpiryCheckInterval, [this] {
        m_replicaConnections.closeExpired();
        closeExpiredConnections();
    });
}

asio::awaitable<void> PlatformDaemon::serveAddresses(const HttpRequest &request,
                                                     HttpResponder &responder)
{
    if (request.path() != platform::ResolvePath) {
        HttpResponse unknown;
        unknown.status = NotFound;
        co_await responder.send(unknown);
        co_return;
    }
    const ZoneId zone(request.query(platform::ZoneParameter));
    std::function<void(std::function<void(const HttpResponse &)>)> startLookup =
        [this, zone](const std::function<void(const HttpResponse &)> &done) {
            done(platform::addressListResponse(m_vms.addressesFor(zone)));
        };
    const HttpResponse response =
        co_await runOnControlThread<HttpResponse>(m_control, std::move(startLookup));
    co_await responder.send(response);
}

asio::awaitable<void> PlatformDaemon::serveStoreCallForPeer(const HttpRequest &request,
                                                            HttpResponder &responder)
{
    HttpRequest forwarded;
    forwarded.method = request.method;
    forwarded.target = request.target;
    forwarded.body = request.body;
    const std::string contentType = request.headerValue("Content-Type");
    if (!contentType.empty()) {
        forwarded.fields.push_back({"Content-Type", contentType});
    }
    HttpResult answer = co_await m_store.callForPeer(std::move(forwarded));
    HttpResponse response;
    response.status = answer.response.status;
    response.body = std::move(answer.response.body);
    co_await responder.send(response);
}

asio::awaitable<void> PlatformDaemon::serveReadiness(const HttpRequest &request,
                                                     HttpResponder &responder)
{
    HttpResponse response;
    if (request.path() != platform::ReadyPath) {
        response.status = NotFound;
    } else if (!m_ready) {
        response.status = Unavailable;
    }
    co_await responder.send(response);
}

asio::awaitable<void> PlatformDaemon::serveMetrics(const HttpRequest &request,
                                                   HttpResponder &responder)
{
    HttpResponse response;
    if (request.path() != "/metrics") {
        response.status = NotFound;
        co_await responder.send(response);
        co_return;
    }
    response.fields.push_back({"Content-Type", "text/plain; version=0.0.4"});
    response.body = absl::StrCat(
        formatCounter("boragepath_calls_served_total", m_counters.served),
        formatCounter("boragepath_calls_refused_total", m_counters.refused),
        formatCounter("boragepath_calls_failed_total", m_counters.failed),
        formatCounter("boragepath_callers_gone_total", m_counters.callerGone),
        formatCounter("boragepath_replica_connections_total", m_counters.replicaConnections),
        formatCounter("boragepath_answers_of_leaving_replicas_total", m_counters.leavingAnswers),
        formatCounter("boragepath_answers_of_limited_replicas_total", m_counters.limitedAnswers),
        formatCounter("boragepath_unreadable_limits_total", m_counters.unreadableLimits),
        formatCounter("boragepath_requests_to_limited_replicas_total",
                      m_counters.requestsUnderLimit),
        formatCounter("boragepath_requests_ended_with_replica_total",
                      m_counters.requestsEndedWithReplica),
        formatCounter("boragepath_calls_quarantined_total", m_counters.quarantinedCalls),
        formatCounter("boragepath_calls_unauthorized_total", m_counters.unauthorizedCalls),
        formatCounter("boragepath_calls_over_quota_total", m_counters.overQuotaCalls),
        formatCounter("boragepath_calls_keys_unconfirmed_total", m_counters.unconfirmedKeyCalls),
        formatCounter("boragepath_calls_overloaded_total", m_counters.overloadedCalls),
        formatCounter("boragepath_store_calls_total", m_store.calls()),
        formatCounter("boragepath_budget_changes_relayed_total", m_ledgerRelay.forwardedRequests()),
        formatCounter("boragepath_budget_changes_made_here_total", m_ledgerRelay.localFallbacks()),
        formatCounter("boragepath_budget_loans_total", m_grants.loans()),
        formatCounter("boragepath_answers_without_room_total", m_receivedFromReplicas.rejections()),
        formatGauge("boragepath_answer_bytes_held",
                    static_cast<double>(m_receivedFromReplicas.held())),
        formatGauge("boragepath_calls_under_way", static_cast<double>(m_front.requestsInFlight())),
        formatGauge("boragepath_store_away", m_store.directRouteUnavailable() ? 1 : 0),
        m_counters.latencies.prometheusText());
    co_await responder.send(response);
}

} // namespace boragepath
