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

constexpr const char *VmTable = "vms";
constexpr Milliseconds NewsInterval{400};
constexpr Milliseconds VmReadInterval{10'000};
constexpr Milliseconds StoreRetryPause{500};
/** A VM that is started again is heard of much sooner. */
constexpr Milliseconds GoneLimit{120'000};
constexpr Milliseconds StaleLinkInterval{2'000};
constexpr Milliseconds StopCheckInterval{50};
/** Callers use an address for three times its time to live after it was withdrawn. */
constexpr Milliseconds ShortestStop{3'600};
/** Before the platform kills the process. */
constexpr Milliseconds StopMargin{900};
/** Conversations in memory may take this part of the VM's: a few hundred that go on here. */
constexpr std::int64_t ConversationMemoryPart = 64;
constexpr std::int64_t BytesPerMegabyte = 1'048'576;
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

std::string encodeVm(const VmEntry &entry)
{
    return json::serialize(json::object{{"front", entry.front.text()},
                                        {"peers", entry.peers.text()},
                                        {"zone", entry.zone.value()},
                                        {"incarnation", entry.incarnation}});
}

std::optional<VmEntry> decodeVm(const StoreRow &row)
{
    json::error_code error;
    const json::value value = json::parse(row.value, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    const json::object &object = value.get_object();
    const auto front = parseEndpoint(stringAt(object, "front"));
    const auto peers = parseEndpoint(stringAt(object, "peers"));
    if (!front.ok() || !peers.ok()) {
        return std::nullopt;
    }
    VmEntry entry;
    entry.vm = VmId(row.name.key);
    entry.front = *front;
    entry.peers = *peers;
    entry.zone = ZoneId(stringAt(object, "zone"));
    entry.incarnation = integerAt(object, "incarnation");
    return entry;
}

std::size_t conversationBytes(const platform::NodeSettings &settings)
{
    return static_cast<std::size_t>(settings.memoryMegabytes * BytesPerMegabyte
                                    / ConversationMemoryPart);
}

/** Names this incarnation of this VM in the rows of programs. */
std::string grantHolder(const VmEntry &self)
{
    return absl::StrCat(self.vm.value(), "/", self.incarnation);
}

HttpLimits smallLimits()
{
    HttpLimits limits;
    limits.maxConnections = 500;
    limits.idleTimeout = Milliseconds(20'000);
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

PlatformDaemon::PlatformDaemon(platform::NodeSettings settings,
                               std::optional<std::uint16_t> metricsPort, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_trafficWork(m_traffic.get_executor())
    , m_signals(m_control, SIGTERM, SIGINT, SIGHUP)
    , m_timers(m_control)
    , m_trafficTimers(m_traffic)
    , m_health(m_clock)
    , m_store(m_control, m_clock, m_settings.store, m_health,
              [this] { return m_vms.randomVmWithStore(); })
    , m_replicas(m_clock)
    , m_ledger(m_clock, m_timers, m_store, m_health, seed)
    , m_turns(m_clock, m_timers, m_store, m_health, conversationBytes(m_settings), seed)
    , m_vms(m_clock, selfEntry(m_settings, m_clock), seed)
    , m_grants(m_clock, m_timers, m_ledger, m_health, grantHolder(m_vms.self()))
    , m_ledgerRelay(
          m_clock, m_timers, m_ledger, m_grants, m_vms,
          [this](const Endpoint &to, const peers::LedgerNote &note) { sendLedgerNote(to, note); })
    , m_scheduler(
          {m_clock, m_timers, m_replicas, m_ledgerRelay, m_turns, m_vms, m_health, m_settings.zone})
    , m_sweeper(
          m_clock, m_timers, m_store, m_vms,
          [this] { return maxTurnRetention(m_scheduler.routes()); }, seed)
    , m_registry(
          m_clock, m_timers, m_store, m_replicas,
          [this](std::shared_ptr<const RouteTable> table) { setRouteTable(std::move(table)); },
          seed)
    , m_peers(m_control, m_settings.peers, m_settings.store.text(),
              [this](const peers::Envelope &envelope) { receive(envelope); })
    , m_replicaConnections(m_traffic.get_executor(), m_clock)
    , m_forwarder(m_control, m_scheduler, m_replicaConnections, m_clock, m_counters)
    , m_front(m_traffic, m_settings.front, m_forwarder)
    , m_directoryServer(m_traffic, smallLimits(),
                        [this](const HttpRequest &request, HttpResponder &responder) {
                            return resolve(request, responder);
                        })
    , m_readyServer(m_traffic, smallLimits(),
                    [this](const HttpRequest &request, HttpResponder &responder) {
                        return answerReady(request, responder);
                    })
    , m_detourServer(m_control, smallLimits(),
                     [this](const HttpRequest &request, HttpResponder &responder) {
                         return passStoreCallOn(request, responder);
                     })
{
    m_detourServer.listen(m_settings.peers);
    m_directoryServer.listen(m_settings.directory);
    m_readyServer.listen(m_settings.ready);
    if (metricsPort.has_value()) {
        m_metricsServer.emplace(m_traffic, smallLimits(),
                                [this](const HttpRequest &request, HttpResponder &responder) {
                                    return answerMetrics(request, responder);
                                });
        m_metricsServer->listen({m_settings.front.address, *metricsPort});
    }
}

void PlatformDaemon::run()
{
    waitForSignal();
    m_registry.start();
    registerSelf();
    readVms();
    tellOthers();
    closeStaleLinks();
    m_sweeper.start();
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
        } else if (!m_stopBegan.has_value()) {
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
    // Addresses hold for the life of a process; the rest is taken over.
    m_settings.stopGrace = settings->stopGrace;
    LogLine("reload").add("outcome", "taken").info();
}

void PlatformDaemon::beginStop()
{
    LogLine("stopping").add("calls", static_cast<std::int64_t>(m_scheduler.openCalls())).info();
    m_stopBegan = m_clock.now();
    m_ready = false;
    m_vms.markLeaving();
    m_front.drain();
    for (const Endpoint &to : m_vms.gossipTargets()) {
        sendNews(to, false);
    }
    m_store.transact({{}, {}, {ownRow()}}, [](const TransactionResult &) {});
    finishStop();
}

void PlatformDaemon::finishStop()
{
    const Duration since = m_clock.now() - *m_stopBegan;
    const bool served = m_front.requestsInFlight() == 0;
    if (served && since >= ShortestStop) {
        m_grants.releaseAll();
    }
    m_ledger.flush();
    const bool idle = served && m_ledger.pending() == 0 && m_turns.pending() == 0
        && m_ledgerRelay.unconfirmedSettlements() == 0;
    if ((idle && since >= ShortestStop) || since >= m_settings.stopGrace - StopMargin) {
        LogLine("stopped")
            .add("calls", m_front.requestsInFlight())
            .add("pending", static_cast<std::int64_t>(m_ledger.pending() + m_turns.pending()))
            .info();
        m_control.stop();
        return;
    }
    m_timers.after(StopCheckInterval, [this] { finishStop(); });
}

void PlatformDaemon::setRouteTable(std::shared_ptr<const RouteTable> table)
{
    const std::int64_t before =
        m_scheduler.routes() == nullptr ? 0 : m_scheduler.routes()->version.value();
    if (!m_scheduler.setRouteTable(table)) {
        return;
    }
    LogLine("configuration")
        .add("version", table->version.value())
        .add("before", before)
        .add("outcome", "in force")
        .info();
    m_ready = !m_stopBegan.has_value();
    m_vms.markStarted();
    asio::post(m_traffic, [this, limits = table->limits] { m_front.setLimits(limits); });
}

RowName PlatformDaemon::ownRow() const
{
    return {VmTable, "", m_settings.vm.value()};
}

void PlatformDaemon::registerSelf()
{
    m_store.transact({{}, {{ownRow(), encodeVm(m_vms.self())}}, {}},
                     [this](const TransactionResult &result) {
                         if (result.answer != StoreAnswer::Done) {
                             m_timers.after(StoreRetryPause, [this] { registerSelf(); });
                         }
                     });
}

void PlatformDaemon::readVms()
{
    m_store.read({VmTable, "", "", ""}, [this](const ReadResult &result) {
        const bool done = result.answer == StoreAnswer::Done;
        for (const StoreRow &row : result.rows) {
            const auto entry = decodeVm(row);
            if (entry.has_value() && entry->vm != m_settings.vm) {
                m_vms.addFromStore(*entry);
                sendNews(entry->peers, true);
                dropIfGone(row, *entry);
            }
        }
        if (done) {
            m_vms.markRowsRead();
        }
        m_timers.after(done ? VmReadInterval : StoreRetryPause, [this] { readVms(); });
    });
}

/** Removes the row of a VM that has been silent for so long that it will not come back. */
void PlatformDaemon::dropIfGone(const StoreRow &row, const VmEntry &entry)
{
    if (m_vms.isLive(entry.vm)) {
        m_silentVms.erase(entry.vm);
        return;
    }
    const SteadyTime since = m_silentVms.try_emplace(entry.vm, m_clock.now()).first->second;
    if (m_clock.now() >= since + GoneLimit) {
        m_silentVms.erase(entry.vm);
        m_store.transact({{{row.name, row.version}}, {}, {row.name}},
                         [](const TransactionResult &) {});
    }
}

void PlatformDaemon::tellOthers()
{
    m_vms.setStoreUnavailable(m_store.directRouteUnavailable());
    for (const Endpoint &to : m_vms.gossipTargets()) {
        sendNews(to, false);
    }
    if (m_scheduler.routes() == nullptr) {
        askForRegistry();
    }
    m_timers.after(NewsInterval, [this] { tellOthers(); });
}

/** A VM that starts while the store is away learns from the others what to serve. */
void PlatformDaemon::askForRegistry()
{
    std::vector<Endpoint> gossipTargets = m_vms.gossipTargets();
    for (const std::string &address : m_settings.seedAddresses) {
        gossipTargets.push_back({address, m_settings.peers.port});
    }
    peers::Envelope envelope;
    envelope.vm = m_settings.vm.value();
    envelope.__set_vmNews(m_vms.news());
    envelope.__set_wantsNews(true);
    envelope.__set_wantsRegistry(true);
    envelope.__set_replyTo(m_settings.peers.text());
    for (const Endpoint &to : gossipTargets) {
        if (to != m_settings.peers) {
            m_peers.send(to, envelope);
        }
    }
}

void PlatformDaemon::sendRegistry(const Endpoint &to)
{
    const platform::RegistryCopy &copy = m_registry.copy();
    if (copy.configuration.empty()) {
        return;
    }
    peers::RegistryCopy message;
    message.configuration = copy.configuration;
    message.registrations = copy.registrations;
    peers::Envelope envelope;
    envelope.vm = m_settings.vm.value();
    envelope.__set_registryCopy(message);
    m_peers.send(to, envelope);
}

void PlatformDaemon::sendNews(const Endpoint &to, bool wantsNews)
{
    peers::Envelope envelope;
    envelope.vm = m_settings.vm.value();
    envelope.__set_vmNews(m_vms.news());
    envelope.__set_wantsNews(wantsNews);
    m_peers.send(to, envelope);
}

void PlatformDaemon::sendLedgerNote(const Endpoint &to, const peers::LedgerNote &note)
{
    peers::Envelope envelope;
    envelope.vm = m_settings.vm.value();
    envelope.__set_ledgerNote(note);
    envelope.__set_replyTo(m_settings.peers.text());
    m_peers.send(to, envelope);
}

void PlatformDaemon::receive(const peers::Envelope &envelope)
{
    const auto sender = parseEndpoint(envelope.replyTo);
    if (envelope.__isset.ledgerNote && sender.ok()) {
        m_ledgerRelay.receive(*sender, envelope.ledgerNote);
    }
    if (envelope.__isset.registryCopy) {
        m_registry.loadCopy(
            {envelope.registryCopy.configuration, envelope.registryCopy.registrations});
    }
    if (envelope.wantsRegistry && sender.ok()) {
        sendRegistry(*sender);
    }
    for (const peers::VmNews &news : envelope.vmNews) {
        m_vms.receive(news);
        if (envelope.wantsNews && news.vm == envelope.vm) {
            const auto teller = parseEndpoint(news.peers);
            if (teller.ok()) {
                sendNews(*teller, false);
            }
        }
    }
}

void PlatformDaemon::closeStaleLinks()
{
    m_trafficTimers.after(StaleLinkInterval, [this] {
        m_replicaConnections.closeExpired();
        closeStaleLinks();
    });
}

asio::awaitable<void> PlatformDaemon::resolve(const HttpRequest &request, HttpResponder &responder)
{
    if (request.path() != platform::ResolvePath) {
        HttpResponse unknown;
        unknown.status = NotFound;
        co_await responder.send(unknown);
        co_return;
    }
    const ZoneId zone(request.query(platform::ZoneParameter));
    std::function<void(std::function<void(const HttpResponse &)>)> ask =
        [this, zone](const std::function<void(const HttpResponse &)> &done) {
            done(platform::addressListResponse(m_vms.addressesFor(zone)));
        };
    const HttpResponse response =
        co_await runOnControlThread<HttpResponse>(m_control, std::move(ask));
    co_await responder.send(response);
}

asio::awaitable<void> PlatformDaemon::passStoreCallOn(const HttpRequest &request,
                                                      HttpResponder &responder)
{
    HttpRequest passed;
    passed.method = request.method;
    passed.target = request.target;
    passed.body = request.body;
    const std::string contentType = request.headerValue("Content-Type");
    if (!contentType.empty()) {
        passed.fields.push_back({"Content-Type", contentType});
    }
    const HttpResponse answer = co_await m_store.callForPeer(std::move(passed));
    HttpResponse response;
    response.status = answer.status;
    response.body = answer.body;
    co_await responder.send(response);
}

asio::awaitable<void> PlatformDaemon::answerReady(const HttpRequest &request,
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

asio::awaitable<void> PlatformDaemon::answerMetrics(const HttpRequest &request,
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
        formatCounter("boragepath_store_calls_total", m_store.calls()),
        formatCounter("boragepath_budget_changes_relayed_total", m_ledgerRelay.forwardedRequests()),
        formatCounter("boragepath_budget_changes_made_here_total", m_ledgerRelay.localFallbacks()),
        formatGauge("boragepath_calls_under_way", static_cast<double>(m_front.requestsInFlight())),
        formatGauge("boragepath_store_away", m_store.directRouteUnavailable() ? 1 : 0),
        m_counters.latencies.prometheusText());
    co_await responder.send(response);
}

} // namespace boragepath
