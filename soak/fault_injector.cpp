#include "soak/fault_injector.h"

#include "core/clock.h"
#include "net/sleep.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <csignal>

namespace boragepath::soak {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Milliseconds Heartbeat{800};
/** A replica that is emptied goes on serving this long. */
constexpr Milliseconds DrainTime{3'000};
constexpr Milliseconds ShortestGap{100};
constexpr Milliseconds LongestGap{1'500};
constexpr Milliseconds StepTime{50};
/** A killed process is gone by then. */
constexpr Milliseconds EndTime{1'000};
constexpr int MostAtOnce = 4;

json::object route(const char *name, const char *prefix, const char *kind, const char *service)
{
    return {{"name", name},       {"host", "soak"},         {"prefix", prefix},   {"kind", kind},
            {"timeoutMs", 3'000}, {"targetLatencyMs", 250}, {"service", service}, {"priority", 1},
            {"maxAttempts", 2},   {"gapAimMs", 300}};
}

json::array routes()
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
    return {turn, read, tool, route("look", "/look/", "idempotent", "app")};
}

void writeEntry(Deployment &deployment, const ReplicaSite &site)
{
    const json::object entry{{"service", site.service},
                             {"addr", site.linkEndpoint.text()},
                             {"zone", "z"},
                             {"version", 1},
                             {"slots", 8},
                             {"state", site.draining ? "draining" : "ready"},
                             {"coldLeftMs", 0},
                             {"seq", 1},
                             {"born", site.startedAtMillis}};
    deployment.store.table().apply(
        {{}, {{{"servers", "", site.replica->id()}, json::serialize(entry)}}, {}});
}

void removeEntry(Deployment &deployment, const std::string &id)
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
    const json::object configuration{{"version", deployment.configurationVersion},
                                     {"routes", routes()},
                                     {"services", services},
                                     {"limits",
                                      json::object{{"maxHeaderBytes", 8'000},
                                                   {"maxBodyBytes", 200'000},
                                                   {"headerTimeoutMs", 3'000},
                                                   {"idleTimeoutMs", 10'000}}}};
    deployment.store.table().apply(
        {{}, {{{"op", "", "config"}, json::serialize(configuration)}}, {}});
}

void startReplica(Deployment &deployment, ReplicaSite &site)
{
    const std::string id = absl::StrCat("i-", deployment.nextReplica++);
    site.draining = false;
    site.startedAtMillis = unixMillis(std::chrono::system_clock::now());
    site.replica = std::make_unique<PlatformReplica>(deployment.context, site.realEndpoint, id,
                                                     deployment.ran, deployment.seed++);
    writeEntry(deployment, site);
}

asio::awaitable<void> keepRegistrations(Deployment &deployment, const bool &stopped)
{
    while (!stopped) {
        co_await sleepFor(Heartbeat);
        for (const ReplicaSite &site : deployment.replicas) {
            const bool reaches = deployment.store.faults().outage == RowServerFaults::Outage::None;
            if (site.replica != nullptr && reaches) {
                writeEntry(deployment, site);
            }
        }
    }
}

Troubles::Troubles(Deployment &deployment, std::uint64_t seed)
    : m_deployment(deployment)
    , m_random(seed)
    , m_begun(std::chrono::steady_clock::now())
{ }

void Troubles::note(const std::string &what)
{
    const std::chrono::duration<double> since = std::chrono::steady_clock::now() - m_begun;
    m_history.push_back(absl::StrFormat("%7.2f s  %s", since.count(), what));
}

asio::awaitable<void> Troubles::pause(Milliseconds shortest, Milliseconds longest)
{
    std::uniform_int_distribution<std::int64_t> span(shortest.count(), longest.count());
    co_await sleepFor(Milliseconds(span(m_random)));
}

asio::awaitable<void> Troubles::run(Duration span)
{
    m_begun = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < m_begun + span) {
        co_await pause(ShortestGap, LongestGap);
        if (m_underWay < MostAtOnce) {
            m_underWay += 1;
            asio::co_spawn(m_deployment.context, one(), asio::detached);
        }
    }
    note("no more troubles");
    while (m_underWay > 0) {
        co_await sleepFor(StepTime);
    }
}

asio::awaitable<void> Troubles::one()
{
    const std::vector<Trouble> kinds = {
        [this] { return killVms(1); },
        [this] { return killVms(1); },
        [this] { return killVms(m_deployment.fleet.size() / 2); },
        [this] { return killVms(m_deployment.fleet.size()); },
        [this] { return freezeVm(); },
        [this] { return freezeVm(); },
        [this] { return stopVm(); },
        [this] { return stopVm(); },
        [this] { return storeOutage(); },
        [this] { return storeSlow(); },
        [this] { return storeLosesAnswers(); },
        [this] { return cutStoreLink(); },
        [this] { return cutStoreLink(); },
        [this] { return replicaLies(); },
        [this] { return replicaLies(); },
        [this] { return replaceReplica(true); },
        [this] { return replaceReplica(false); },
        [this] { return cutReplicaLink(); },
        [this]() -> asio::awaitable<void> {
            note("configuration changes");
            writeConfiguration(m_deployment);
            co_return;
        },
        [this]() -> asio::awaitable<void> {
            note("the store forgets its history");
            m_deployment.store.table().compactHistory();
            co_return;
        },
        [this]() -> asio::awaitable<void> {
            const std::size_t vm = drawn(m_deployment.fleet.size());
            note(absl::StrCat("SIGHUP to VM ", vm));
            m_deployment.fleet.signal(vm, SIGHUP);
            co_return;
        },
    };
    const Trouble &trouble = kinds[drawn(kinds.size())];
    try {
        co_await trouble();
    } catch (const std::exception &failure) {
        note(absl::StrCat("a trouble could not be brought: ", failure.what()));
    }
    m_underWay -= 1;
}

asio::awaitable<void> Troubles::bringUp(std::size_t vm)
{
    // Another trouble may have brought it up already.
    for (Milliseconds waited{0}; m_deployment.fleet.runs(vm) && waited < EndTime;
         waited += StepTime) {
        co_await sleepFor(StepTime);
    }
    m_deployment.fleet.start(vm);
}

asio::awaitable<void> Troubles::killVms(std::size_t count)
{
    note(absl::StrCat("SIGKILL to ", count, " VMs"));
    const std::size_t first = drawn(m_deployment.fleet.size());
    for (std::size_t index = 0; index < count; ++index) {
        m_deployment.fleet.signal((first + index) % m_deployment.fleet.size(), SIGKILL);
    }
    co_await pause(Milliseconds(0), Milliseconds(3'000));
    for (std::size_t index = 0; index < count; ++index) {
        co_await bringUp((first + index) % m_deployment.fleet.size());
    }
}

asio::awaitable<void> Troubles::freezeVm()
{
    const std::size_t vm = drawn(m_deployment.fleet.size());
    note(absl::StrCat("VM ", vm, " freezes"));
    m_deployment.fleet.signal(vm, SIGSTOP);
    co_await pause(Milliseconds(300), Milliseconds(6'000));
    m_deployment.fleet.signal(vm, SIGCONT);
}

asio::awaitable<void> Troubles::stopVm()
{
    const std::size_t vm = drawn(m_deployment.fleet.size());
    note(absl::StrCat("SIGTERM to VM ", vm));
    m_deployment.fleet.signal(vm, SIGCONT);
    m_deployment.fleet.signal(vm, SIGTERM);
    co_await pause(Milliseconds(8'000), Milliseconds(9'000));
    // A frozen process cannot stop; the platform kills it then.
    m_deployment.fleet.signal(vm, SIGKILL);
    co_await bringUp(vm);
}

asio::awaitable<void> Troubles::storeOutage()
{
    using Outage = RowServerFaults::Outage;
    constexpr Outage Kinds[] = {Outage::Silent, Outage::Busy, Outage::Throttling};
    note("the store is away");
    m_deployment.store.faults().outage = Kinds[drawn(3)];
    co_await pause(Milliseconds(500), Milliseconds(5'000));
    m_deployment.store.faults().outage = Outage::None;
}

asio::awaitable<void> Troubles::storeSlow()
{
    note("the store is slow");
    m_deployment.store.faults().delay = Milliseconds(100 + drawn(300));
    co_await pause(Milliseconds(500), Milliseconds(4'000));
    m_deployment.store.faults().delay = Milliseconds(0);
}

asio::awaitable<void> Troubles::storeLosesAnswers()
{
    note("the store loses answers");
    m_deployment.store.faults().unanswered = 0.2;
    m_deployment.store.faults().late = 0.1;
    co_await pause(Milliseconds(500), Milliseconds(4'000));
    m_deployment.store.faults().unanswered = 0;
    m_deployment.store.faults().late = 0;
}

asio::awaitable<void> Troubles::cutStoreLink()
{
    const std::size_t vm = drawn(m_deployment.storeLinks.size());
    LinkProxy &link = *m_deployment.storeLinks[vm];
    note(absl::StrCat("VM ", vm, " is cut off from the store"));
    switch (drawn(3)) {
    case 0:
        link.faults().silentTowards = true;
        break;
    case 1:
        link.faults().silentBack = true;
        break;
    default:
        link.faults().refuses = true;
        link.resetAll();
        break;
    }
    co_await pause(Milliseconds(500), Milliseconds(5'000));
    link.faults() = {};
}

asio::awaitable<void> Troubles::replicaLies()
{
    const std::size_t index = drawn(m_deployment.replicas.size());
    if (m_deployment.replicas[index].replica == nullptr) {
        co_return;
    }
    note(absl::StrCat("replica place ", index, " misbehaves"));
    ReplicaFaults faults;
    double *const shares[] = {&faults.loses, &faults.breaksOff, &faults.addsAnswers,
                              &faults.unclear, &faults.declines};
    *shares[drawn(5)] = 0.4;
    faults.delay = Milliseconds(drawn(100));
    m_deployment.replicas[index].replica->faults() = faults;
    co_await pause(Milliseconds(500), Milliseconds(4'000));
    if (m_deployment.replicas[index].replica != nullptr) {
        m_deployment.replicas[index].replica->faults() = {};
    }
}

asio::awaitable<void> Troubles::replaceReplica(bool drains)
{
    const std::size_t index = drawn(m_deployment.replicas.size());
    if (m_deployment.replicas[index].replica == nullptr || m_deployment.replicas[index].draining) {
        co_return;
    }
    note(absl::StrCat("replica place ", index, drains ? " is emptied" : " crashes"));
    const std::string id = m_deployment.replicas[index].replica->id();
    if (drains) {
        m_deployment.replicas[index].draining = true;
        writeEntry(m_deployment, m_deployment.replicas[index]);
        co_await sleepFor(DrainTime);
    }
    m_deployment.replicas[index].replica->stop();
    // Its coroutines end with its connections.
    co_await sleepFor(StepTime);
    m_deployment.replicas[index].link->resetAll();
    std::unique_ptr<PlatformReplica> ended = std::move(m_deployment.replicas[index].replica);
    co_await pause(Milliseconds(200), Milliseconds(2'500));
    removeEntry(m_deployment, id);
    startReplica(m_deployment, m_deployment.replicas[index]);
    // Requests that it was still at may look at it until their time is over.
    co_await sleepFor(DrainTime);
}

asio::awaitable<void> Troubles::cutReplicaLink()
{
    const std::size_t index = drawn(m_deployment.replicas.size());
    LinkProxy &link = *m_deployment.replicas[index].link;
    note(absl::StrCat("the link to replica place ", index, " is harmed"));
    switch (drawn(3)) {
    case 0:
        link.faults().delay = Milliseconds(20 + drawn(200));
        break;
    case 1:
        link.faults().silentBack = true;
        break;
    default:
        link.resetAll();
        break;
    }
    co_await pause(Milliseconds(300), Milliseconds(3'000));
    link.faults() = {};
}

} // namespace boragepath::soak
