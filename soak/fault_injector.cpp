#include "soak/fault_injector.h"

#include "core/clock.h"
#include "net/sleep.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <csignal>

namespace boragepath::soak {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Milliseconds RegistrationInterval{800};
/** A draining replica continues to serve for this long. */
constexpr Milliseconds DrainTime{3'000};
constexpr Milliseconds MinFaultInterval{100};
constexpr Milliseconds MaxFaultInterval{1'500};
constexpr Milliseconds PollInterval{50};
/** A killed process has exited after this time. */
constexpr Milliseconds ProcessExitTimeout{1'000};
constexpr int MaxActiveFaults = 4;
/** Some changes of organisations outlast the time after which a removed key must not be used. */
constexpr Milliseconds MinOrganisationFault{500};
constexpr Milliseconds MaxOrganisationFault{10'000};

json::object route(const char *name, const char *prefix, const char *kind, const char *service)
{
    return {{"name", name},       {"host", "soak"},         {"prefix", prefix},   {"kind", kind},
            {"timeoutMs", 3'000}, {"targetLatencyMs", 250}, {"service", service}, {"priority", 1},
            {"maxAttempts", 2},   {"gapAimMs", 300}};
}

json::array routes(bool hasOrganisations)
{
    json::object turn = route("turn", "/turn/", "streaming", "engine");
    turn["retainContext"] = true;
    turn["keepS"] = 60;
    turn["sticky"] = true;
    json::object read = route("read", "/read/", "streaming", "engine");
    read["resumable"] = true;
    read["sticky"] = true;
    json::object tool = route("tool", "/tool/", "non_idempotent", "app");
    tool["maxAttempts"] = 1;
    json::object look = route("look", "/look/", "idempotent", "app");
    if (hasOrganisations) {
        look["public"] = true;
    }
    return {turn, read, tool, look};
}

void writeRegistration(Deployment &deployment, const ReplicaSite &site)
{
    const json::object entry{{"service", site.service},
                             {"addr", site.linkEndpoint.text()},
                             {"zone", "z"},
                             {"version", site.replica->version()},
                             {"slots", 8},
                             {"state", site.draining ? "draining" : "ready"},
                             {"coldLeftMs", 0},
                             {"seq", 1},
                             {"born", site.startedAtMillis}};
    deployment.store.table().apply(
        {{}, {{{"servers", "", site.replica->id()}, json::serialize(entry)}}, {}});
}

void removeRegistration(Deployment &deployment, const std::string &id)
{
    deployment.store.table().apply({{}, {}, {{"servers", "", id}}});
}

} // namespace

void writeConfiguration(Deployment &deployment)
{
    deployment.configurationVersion += 1;
    const json::array services{
        json::object{{"name", "engine"},
                     {"maxConns", 400},
                     {"engine", json::object{{"tokensPerEvent", 20}, {"slots", 8}}}},
        json::object{{"name", "app"}, {"maxConns", 400}}};
    json::object configuration{{"version", deployment.configurationVersion},
                               {"routes", routes(!deployment.organisations.empty())},
                               {"services", services},
                               {"limits",
                                json::object{{"maxHeaderBytes", 8'000},
                                             {"maxBodyBytes", 200'000},
                                             {"headerTimeoutMs", 3'000},
                                             {"idleTimeoutMs", 10'000}}}};
    const std::vector<OrganisationEntry> entries =
        configuredOrganisations(deployment.organisations);
    if (!deployment.organisations.empty()) {
        configuration["tenants"] = encodeTenants(entries);
    }
    deployment.store.table().apply(
        {{}, {{{"op", "", "config"}, json::serialize(configuration)}}, {}});
    deployment.onConfiguration(entries);
}

std::string newReplicaId(Deployment &deployment)
{
    return absl::StrCat("i-", deployment.nextReplica++);
}

void startReplica(Deployment &deployment, std::size_t index, const ReplicaIdentity &identity)
{
    ReplicaSite &site = deployment.replicas[index];
    site.leaving = false;
    site.draining = false;
    site.unregistered = false;
    site.startedAtMillis = unixMillis(std::chrono::system_clock::now());
    site.replica =
        std::make_unique<PlatformReplica>(deployment.context, site.realEndpoint, identity,
                                          deployment.onRequestRun, deployment.seed++);
    site.replica->onReceive(deployment.onReceive);
    site.replica->onRunEnd(
        [&deployment, id = identity.id](const HttpRequest &request, bool brokeOff) {
            deployment.onRunEnd(request, id, brokeOff);
        });
    site.replica->onCrash([&deployment, id = identity.id] { deployment.onReplicaCrash(id); });
    site.link->setListening(true);
    deployment.onReplicaStart(identity.id, index);
    writeRegistration(deployment, site);
}

asio::awaitable<void> renewRegistrations(Deployment &deployment, const bool &stopped)
{
    while (!stopped) {
        co_await sleepFor(RegistrationInterval);
        for (const ReplicaSite &site : deployment.replicas) {
            const bool storeReachable =
                deployment.store.faults().outage == RowServerFaults::Outage::None;
            if (site.replica != nullptr && storeReachable && !site.unregistered) {
                writeRegistration(deployment, site);
            }
        }
    }
}

FaultInjector::FaultInjector(Deployment &deployment, std::uint64_t seed)
    : m_deployment(deployment)
    , m_random(seed)
    , m_startedAt(std::chrono::steady_clock::now())
{
    deployment.onReplicaCrash = [this](const std::string &id) { crashReplica(id); };
}

void FaultInjector::crashReplica(const std::string &id)
{
    const auto site = std::find_if(m_deployment.replicas.begin(), m_deployment.replicas.end(),
                                   [&](const ReplicaSite &item) {
                                       return item.replica != nullptr && item.replica->id() == id;
                                   });
    if (site == m_deployment.replicas.end()) {
        return;
    }
    const auto index = static_cast<std::size_t>(site - m_deployment.replicas.begin());
    const Replacement replacement{Departure::Crash, site->replica->version(), false};
    // Not one of the active faults, for whose end the soak waits: callers send such requests on.
    asio::co_spawn(m_deployment.context, replaceReplica(index, replacement), asio::detached);
}

void FaultInjector::logEvent(const std::string &event)
{
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - m_startedAt;
    m_history.push_back(absl::StrFormat("%7.2f s  %s", elapsed.count(), event));
}

asio::awaitable<void> FaultInjector::sleepRandomly(Milliseconds shortest, Milliseconds longest)
{
    std::uniform_int_distribution<std::int64_t> duration(shortest.count(), longest.count());
    co_await sleepFor(Milliseconds(duration(m_random)));
}

asio::awaitable<void> FaultInjector::run(Duration duration)
{
    m_startedAt = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < m_startedAt + duration) {
        co_await sleepRandomly(MinFaultInterval, MaxFaultInterval);
        if (m_activeFaults < MaxActiveFaults) {
            m_activeFaults += 1;
            asio::co_spawn(m_deployment.context, injectRandomFault(), asio::detached);
        }
    }
    co_await waitForFaultsToEnd();
}

asio::awaitable<void> FaultInjector::waitForFaultsToEnd()
{
    logEvent("no further faults");
    while (m_activeFaults > 0) {
        co_await sleepFor(PollInterval);
    }
}

std::vector<FaultInjector::FaultAction> FaultInjector::faultActions()
{
    return {
        [this] { return killVms(1); },
        [this] { return killVms(1); },
        [this] { return killVms(m_deployment.fleet.size() / 2); },
        [this] { return killVms(m_deployment.fleet.size()); },
        [this] { return pauseVm(); },
        [this] { return pauseVm(); },
        [this] { return terminateVm(); },
        [this] { return terminateVm(); },
        [this] { return injectStoreOutage(); },
        [this] { return slowDownStore(); },
        [this] { return loseStoreAnswers(); },
        [this] { return disruptStoreLink(); },
        [this] { return disruptStoreLink(); },
        [this] { return injectReplicaFault(); },
        [this] { return injectReplicaFault(); },
        [this] { return replaceAnyReplica(randomDeparture()); },
        [this] { return replaceAnyReplica(Departure::Crash); },
        [this] { return rollOutVersion(); },
        [this] { return rollOutVersion(); },
        [this] { return disruptReplicaLink(); },
        [this] { return limitReplicas(); },
        [this] { return limitReplicas(); },
        [this]() -> asio::awaitable<void> {
            logEvent("configuration changed");
            writeConfiguration(m_deployment);
            co_return;
        },
        [this]() -> asio::awaitable<void> {
            logEvent("the store compacts its change history");
            m_deployment.store.table().compactHistory();
            co_return;
        },
        [this]() -> asio::awaitable<void> {
            reloadAnyVm();
            co_return;
        },
        [this] { return replaceSomeVms(); },
        [this] { return changeInSeries(); },
    };
}

std::vector<FaultInjector::FaultAction> FaultInjector::organisationFaultActions()
{
    if (m_deployment.organisations.empty()) {
        return {};
    }
    return {
        [this] { return withdrawKeys(false); },  [this] { return withdrawKeys(false); },
        [this] { return withdrawKeys(true); },   [this] { return toggleOrganisation(); },
        [this] { return toggleOrganisation(); }, [this] { return changeQuota(); },
        [this] { return changeQuota(); },        [this] { return multiplyLoad(); },
        [this] { return multiplyLoad(); },
    };
}

asio::awaitable<void> FaultInjector::injectRandomFault()
{
    std::vector<FaultAction> actions = faultActions();
    const std::vector<FaultAction> organisationActions = organisationFaultActions();
    actions.insert(actions.end(), organisationActions.begin(), organisationActions.end());
    const FaultAction &injectFault = actions[randomIndex(actions.size())];
    try {
        co_await injectFault();
    } catch (const std::exception &failure) {
        logEvent(absl::StrCat("fault injection failed: ", failure.what()));
    }
    m_activeFaults -= 1;
}

asio::awaitable<void> FaultInjector::restartVm(std::size_t vm)
{
    // Another fault may have restarted it already.
    for (Milliseconds waited{0}; m_deployment.fleet.isRunning(vm) && waited < ProcessExitTimeout;
         waited += PollInterval) {
        co_await sleepFor(PollInterval);
    }
    m_deployment.fleet.start(vm);
}

asio::awaitable<void> FaultInjector::killVms(std::size_t count)
{
    logEvent(absl::StrCat("SIGKILL to ", count, " VMs"));
    const std::size_t first = randomIndex(m_deployment.fleet.size());
    for (std::size_t index = 0; index < count; ++index) {
        m_deployment.fleet.signal((first + index) % m_deployment.fleet.size(), SIGKILL);
    }
    co_await sleepRandomly(Milliseconds(0), Milliseconds(3'000));
    for (std::size_t index = 0; index < count; ++index) {
        co_await restartVm((first + index) % m_deployment.fleet.size());
    }
}

asio::awaitable<void> FaultInjector::pauseVm()
{
    const std::size_t vm = randomIndex(m_deployment.fleet.size());
    logEvent(absl::StrCat("VM ", vm, " paused (SIGSTOP)"));
    m_deployment.fleet.signal(vm, SIGSTOP);
    co_await sleepRandomly(Milliseconds(300), Milliseconds(6'000));
    m_deployment.fleet.signal(vm, SIGCONT);
}

asio::awaitable<void> FaultInjector::terminateVm()
{
    const std::size_t vm = randomIndex(m_deployment.fleet.size());
    logEvent(absl::StrCat("SIGTERM to VM ", vm));
    m_deployment.fleet.signal(vm, SIGCONT);
    m_deployment.fleet.signal(vm, SIGTERM);
    co_await sleepRandomly(Milliseconds(8'000), Milliseconds(9'000));
    // Another fault may have suspended the process, so that it cannot handle SIGTERM. The platform
    // kills such a process.
    m_deployment.fleet.signal(vm, SIGKILL);
    co_await restartVm(vm);
}

asio::awaitable<void> FaultInjector::injectStoreOutage()
{
    using Outage = RowServerFaults::Outage;
    constexpr Outage Kinds[] = {Outage::Silent, Outage::Busy, Outage::Throttling};
    logEvent("the store is away");
    m_deployment.onStoreDisruption(std::nullopt, true);
    m_deployment.store.faults().outage = Kinds[randomIndex(3)];
    co_await sleepRandomly(Milliseconds(500), Milliseconds(5'000));
    m_deployment.store.faults().outage = Outage::None;
    m_deployment.onStoreDisruption(std::nullopt, false);
}

asio::awaitable<void> FaultInjector::slowDownStore()
{
    logEvent("the store is slow");
    m_deployment.onStoreDisruption(std::nullopt, true);
    m_deployment.store.faults().delay = Milliseconds(100 + randomIndex(300));
    co_await sleepRandomly(Milliseconds(500), Milliseconds(4'000));
    m_deployment.store.faults().delay = Milliseconds(0);
    m_deployment.onStoreDisruption(std::nullopt, false);
}

asio::awaitable<void> FaultInjector::loseStoreAnswers()
{
    logEvent("the store loses answers and delays writes");
    m_deployment.onStoreDisruption(std::nullopt, true);
    m_deployment.store.faults().lostAnswers = 0.2;
    m_deployment.store.faults().delayedWrites = 0.1;
    co_await sleepRandomly(Milliseconds(500), Milliseconds(4'000));
    m_deployment.store.faults().lostAnswers = 0;
    m_deployment.store.faults().delayedWrites = 0;
    m_deployment.onStoreDisruption(std::nullopt, false);
}

asio::awaitable<void> FaultInjector::disruptStoreLink()
{
    const std::size_t vm = randomIndex(m_deployment.storeLinks.size());
    LinkProxy &link = *m_deployment.storeLinks[vm];
    m_deployment.onStoreDisruption(vm, true);
    logEvent(absl::StrCat("link from VM ", vm, " to the store: fault"));
    switch (randomIndex(3)) {
    case 0:
        link.faults().dropsToTarget = true;
        break;
    case 1:
        link.faults().dropsToCaller = true;
        break;
    default:
        link.faults().resetsNewConnections = true;
        link.resetAll();
        break;
    }
    co_await sleepRandomly(Milliseconds(500), Milliseconds(5'000));
    link.faults() = {};
    m_deployment.onStoreDisruption(vm, false);
}

asio::awaitable<void> FaultInjector::injectReplicaFault()
{
    const std::size_t index = randomIndex(m_deployment.replicas.size());
    if (m_deployment.replicas[index].replica == nullptr) {
        co_return;
    }
    logEvent(absl::StrCat("replica site ", index, " misbehaves"));
    ReplicaFaults faults;
    double *const probabilities[] = {&faults.losesAnswers, &faults.truncatesAnswers,
                                     &faults.sendsExtraAnswers, &faults.refusesAfterRun,
                                     &faults.refusesBeforeRun};
    *probabilities[randomIndex(5)] = 0.4;
    faults.delay = Milliseconds(randomIndex(100));
    m_deployment.replicas[index].replica->faults() = faults;
    m_deployment.onSiteDisruption(index, true);
    co_await sleepRandomly(Milliseconds(500), Milliseconds(4'000));
    m_deployment.onSiteDisruption(index, false);
    if (m_deployment.replicas[index].replica != nullptr) {
        m_deployment.replicas[index].replica->faults() = {};
    }
}

Departure FaultInjector::randomDeparture()
{
    constexpr Departure Kinds[] = {Departure::Drain, Departure::StaysReady, Departure::Unregister};
    return Kinds[randomIndex(3)];
}

asio::awaitable<void> FaultInjector::replaceAnyReplica(Departure departure)
{
    const std::size_t index = randomIndex(m_deployment.replicas.size());
    if (m_deployment.replicas[index].replica == nullptr) {
        co_return;
    }
    const Replacement replacement{departure, m_deployment.replicas[index].replica->version(),
                                  randomIndex(2) == 0};
    co_await replaceReplica(index, replacement);
}

asio::awaitable<void> FaultInjector::announceDeparture(ReplicaSite &site, Departure departure)
{
    site.replica->announceLeaving();
    if (departure == Departure::Drain) {
        site.draining = true;
        writeRegistration(m_deployment, site);
    } else if (departure == Departure::Unregister) {
        site.unregistered = true;
        removeRegistration(m_deployment, site.replica->id());
    }
    co_await sleepFor(DrainTime);
}

asio::awaitable<void> FaultInjector::replaceReplica(std::size_t index, Replacement replacement)
{
    ReplicaSite &site = m_deployment.replicas[index];
    if (site.replica == nullptr || site.leaving) {
        co_return;
    }
    constexpr const char *DepartureNames[] = {"crashes", "drains", "leaves as ready",
                                              "leaves unregistered"};
    const std::string id = site.replica->id();
    logEvent(absl::StrCat("replica site ", index, " (", id, ") ",
                          DepartureNames[static_cast<int>(replacement.departure)], ", then ",
                          replacement.version, replacement.keepsId ? " under its id" : ""));
    site.leaving = true;
    const bool isPlanned = replacement.departure != Departure::Crash;
    if (isPlanned) {
        co_await announceDeparture(site, replacement.departure);
    } else {
        m_deployment.onSiteDisruption(index, true);
    }
    site.link->setListening(false);
    site.replica->stop();
    // Lets the replica's coroutines end, which they do once its connections are closed.
    co_await sleepFor(PollInterval);
    site.link->resetAll();
    std::unique_ptr<PlatformReplica> stoppedReplica = std::move(site.replica);
    co_await sleepRandomly(Milliseconds(200), Milliseconds(2'500));
    const ReplicaIdentity identity{replacement.keepsId ? id : newReplicaId(m_deployment),
                                   replacement.version};
    if (!replacement.keepsId) {
        removeRegistration(m_deployment, id);
    }
    startReplica(m_deployment, index, identity);
    if (!isPlanned) {
        m_deployment.onSiteDisruption(index, false);
    }
    // Requests that were still running on the stopped replica may access it until they time out, so
    // it is destroyed only after that.
    co_await sleepFor(DrainTime);
}

asio::awaitable<void> FaultInjector::rollOutVersion()
{
    // Sometimes an update is rolled back before it has reached all replicas.
    const bool rollsBack = m_versions > 1 && randomIndex(3) == 0;
    const std::string version = absl::StrCat("v", rollsBack ? m_versions - 1 : ++m_versions);
    const std::size_t atOnce = 1 + randomIndex(3);
    const bool keepsIds = randomIndex(4) == 0;
    logEvent(absl::StrCat("update to ", version, ", ", atOnce, " at a time"));
    std::size_t started = 0;
    for (std::size_t index = 0; index < m_deployment.replicas.size(); ++index) {
        if (m_deployment.replicas[index].service != "engine" || randomIndex(3) == 0) {
            continue;
        }
        const Replacement replacement{randomDeparture(), version, keepsIds};
        m_activeFaults += 1;
        asio::co_spawn(m_deployment.context, replaceReplica(index, replacement),
                       [this](const std::exception_ptr &) { m_activeFaults -= 1; });
        started += 1;
        if (started % atOnce == 0) {
            co_await sleepRandomly(Milliseconds(300), Milliseconds(1'500));
        }
    }
}

SoakOrganisation &FaultInjector::randomOrganisation()
{
    return m_deployment.organisations[randomIndex(m_deployment.organisations.size())];
}

asio::awaitable<void> FaultInjector::keepConfiguration(std::string event)
{
    logEvent(event);
    writeConfiguration(m_deployment);
    co_await sleepRandomly(MinOrganisationFault, MaxOrganisationFault);
    logEvent(absl::StrCat("ends: ", event));
}

asio::awaitable<void> FaultInjector::withdrawKeys(bool all)
{
    SoakOrganisation &organisation = randomOrganisation();
    const std::size_t first = randomIndex(organisation.keys.size());
    const std::size_t count = all ? organisation.keys.size() : 1;
    const auto change = [&](int difference) {
        for (std::size_t index = 0; index < count; ++index) {
            organisation.keys[(first + index) % organisation.keys.size()].withdrawals += difference;
        }
    };
    change(1);
    co_await keepConfiguration(
        absl::StrCat(organisation.name, " loses ", all ? "all keys" : "a key"));
    change(-1);
    writeConfiguration(m_deployment);
}

asio::awaitable<void> FaultInjector::toggleOrganisation()
{
    SoakOrganisation &organisation = randomOrganisation();
    const int difference = organisation.removals > 0 ? -1 : 1;
    organisation.removals += difference;
    co_await keepConfiguration(
        absl::StrCat(organisation.name, difference > 0 ? " is removed" : " is added"));
    organisation.removals -= difference;
    writeConfiguration(m_deployment);
}

asio::awaitable<void> FaultInjector::changeQuota()
{
    // Powers of two, so that the product of overlapping changes is exact.
    constexpr double Factors[] = {0.25, 0.5, 2, 4};
    SoakOrganisation &organisation = randomOrganisation();
    const double factor = Factors[randomIndex(4)];
    organisation.quotaFactor *= factor;
    organisation.priority = static_cast<int>(randomIndex(3));
    co_await keepConfiguration(absl::StrCat("quota of ", organisation.name, " times ", factor));
    organisation.quotaFactor /= factor;
    writeConfiguration(m_deployment);
}

asio::awaitable<void> FaultInjector::multiplyLoad()
{
    constexpr double LoadFactor = 7;
    SoakOrganisation &organisation = randomOrganisation();
    if (organisation.loadFactor > 1) {
        co_return;
    }
    logEvent(absl::StrCat("load of ", organisation.name, " times ", LoadFactor));
    organisation.loadFactor = LoadFactor;
    co_await sleepRandomly(MinOrganisationFault, MaxOrganisationFault);
    organisation.loadFactor = 1;
}

void FaultInjector::nameLimit(std::size_t index, std::optional<double> limit)
{
    const ReplicaSite &site = m_deployment.replicas[index];
    if (site.replica != nullptr) {
        site.replica->nameLimit(limit);
        m_deployment.onLimit(site.replica->id(), limit);
    }
}

asio::awaitable<void> FaultInjector::limitReplicas()
{
    constexpr double Limits[] = {0.3, 0.6, 1, 2.5};
    const double limit = Limits[randomIndex(4)];
    const bool onlySome = randomIndex(2) == 0;
    const std::string service = randomIndex(2) == 0 ? "engine" : "app";
    logEvent(absl::StrCat(onlySome ? "some" : "all", " replicas of ", service, " take ", limit,
                          " requests a second"));
    std::vector<std::size_t> limited;
    for (std::size_t index = 0; index < m_deployment.replicas.size(); ++index) {
        if (m_deployment.replicas[index].service == service && (!onlySome || randomIndex(2) == 0)) {
            limited.push_back(index);
        }
    }
    for (const std::size_t index : limited) {
        nameLimit(index, limit);
    }
    co_await sleepRandomly(Milliseconds(7'000), Milliseconds(14'000));
    for (const std::size_t index : limited) {
        nameLimit(index, std::nullopt);
    }
}

asio::awaitable<void> FaultInjector::disruptReplicaLink()
{
    const std::size_t index = randomIndex(m_deployment.replicas.size());
    LinkProxy &link = *m_deployment.replicas[index].link;
    logEvent(absl::StrCat("link to replica site ", index, ": fault"));
    m_deployment.onSiteDisruption(index, true);
    switch (randomIndex(3)) {
    case 0:
        link.faults().delay = Milliseconds(20 + randomIndex(200));
        break;
    case 1:
        link.faults().dropsToCaller = true;
        break;
    default:
        link.resetAll();
        break;
    }
    co_await sleepRandomly(Milliseconds(300), Milliseconds(3'000));
    link.faults() = {};
    m_deployment.onSiteDisruption(index, false);
}

} // namespace boragepath::soak
