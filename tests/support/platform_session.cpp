#include "tests/support/platform_session.h"

#include "platform/registry_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace boragepath::platform {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const Endpoint FrontEndpoint{"127.0.0.9", 17'911};
constexpr std::uint16_t FirstReplicaPort = 17'921;
/** Interval at which the clock of the store in memory is advanced. */
constexpr Milliseconds StoreClockStep{2};

const std::string Configuration =
    R"({"version":3,"routes":[)"
    R"({"name":"tool","host":"h","prefix":"/tool/","kind":"non_idempotent","timeoutMs":2000,)"
    R"("service":"app","maxAttempts":1},)"
    R"({"name":"look","host":"h","prefix":"/look/","kind":"idempotent","timeoutMs":2000,)"
    R"("targetLatencyMs":60,"service":"app","maxAttempts":2},)"
    R"({"name":"turn","host":"h","prefix":"/turn/","kind":"streaming","timeoutMs":2000,)"
    R"("service":"app","maxAttempts":2,"resumable":false,"retainContext":true,"keepS":60},)"
    R"({"name":"read","host":"h","prefix":"/read/","kind":"streaming","timeoutMs":2000,)"
    R"("service":"app","maxAttempts":2,"resumable":true},)"
    R"({"name":"talk","host":"h","prefix":"/talk/","kind":"streaming","timeoutMs":2000,)"
    R"("service":"app","maxAttempts":2,"resumable":true,"retainContext":true,"keepS":60},)"
    R"({"name":"open","host":"h","prefix":"/open/","kind":"idempotent","timeoutMs":2000,)"
    R"("service":"app","maxAttempts":2,"public":true}],)"
    R"("services":[{"name":"app","maxConns":200,"engine":{"tokensPerEvent":20}}],)"
    R"("limits":{"maxHeaderBytes":2000,"maxBodyBytes":5000,"headerTimeoutMs":200,"idleTimeoutMs":1000}})";

} // namespace

std::string fieldOf(const std::string &head, const std::string &name)
{
    const std::size_t start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos) {
        return "";
    }
    const std::size_t value = start + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

std::string sealedResponse(const std::string &head, const std::string &extra,
                           const std::string &body)
{
    return absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ", fieldOf(head, "Attempt-Id"),
                        "\r\nReplica-Seal: seal\r\n", extra, "\r\n", body);
}

std::string completeResponse(const std::string &head, const std::string &body)
{
    return sealedResponse(head, absl::StrCat("Content-Length: ", body.size(), "\r\n"), body);
}

std::string chunk(const std::string &data)
{
    return absl::StrCat(absl::Hex(data.size()), "\r\n", data, "\r\n");
}

std::string event(int id)
{
    return absl::StrCat("id: ", id, "\ndata: d", id, "\n\n");
}

std::string streamHead(const std::string &head)
{
    return sealedResponse(head, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
                          "");
}

std::string callRequest(const std::string &path, const std::string &id, const std::string &body,
                        const std::string &fields)
{
    return absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: h\r\nAttempt-Id: ", id,
                        "\r\nDeadline-Ms: 1500\r\n", fields, "Content-Length: ", body.size(),
                        "\r\n\r\n", body);
}

ScriptedReplica::ScriptedReplica(asio::io_context &context, std::uint16_t port,
                                 ReplicaBehaviour behaviour)
    : m_acceptor(context, {asio::ip::make_address("127.0.0.9"), port})
    , m_behaviour(std::move(behaviour))
{
    asio::co_spawn(context, accept(), asio::detached);
}

asio::awaitable<void> ScriptedReplica::accept()
{
    while (isRunning()) {
        const auto socket =
            std::make_shared<tcp::socket>(co_await m_acceptor.async_accept(asio::use_awaitable));
        connections += 1;
        m_sockets.push_back(socket);
        asio::co_spawn(m_acceptor.get_executor(), serve(socket), asio::detached);
    }
}

void ScriptedReplica::end()
{
    m_acceptor.close();
    for (const auto &item : m_sockets) {
        if (const auto socket = item.lock()) {
            socket->close();
        }
    }
}

asio::awaitable<void> ScriptedReplica::serve(std::shared_ptr<tcp::socket> socket)
{
    std::string input;
    for (;;) {
        const std::size_t size = co_await asio::async_read_until(
            *socket, asio::dynamic_buffer(input), "\r\n\r\n", asio::use_awaitable);
        const std::string head = input.substr(0, size);
        input.erase(0, size);
        const std::string length = fieldOf(head, "Content-Length");
        const std::size_t bodySize = length.empty() ? 0 : std::stoul(length);
        if (input.size() < bodySize) {
            co_await asio::async_read(*socket, asio::dynamic_buffer(input),
                                      asio::transfer_exactly(bodySize - input.size()),
                                      asio::use_awaitable);
        }
        const std::string body = input.substr(0, bodySize);
        input.erase(0, bodySize);
        heads.push_back(head);
        bodies.push_back(body);
        const ReplicaScript script = m_behaviour(head, body);
        if (script.delay.count() > 0) {
            asio::steady_timer timer(m_acceptor.get_executor(), script.delay);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_await asio::async_write(*socket, asio::buffer(script.answer), asio::use_awaitable);
        boost::system::error_code error;
        while (!script.endless.empty() && !error) {
            co_await asio::async_write(*socket, asio::buffer(script.endless),
                                       asio::redirect_error(asio::use_awaitable, error));
        }
        if (script.end) {
            end();
            co_return;
        }
        if (script.close) {
            if (script.reset) {
                socket->set_option(asio::socket_base::linger(true, 0));
            }
            socket->close();
            co_return;
        }
    }
}

PlatformSession::PlatformSession()
    : m_manualTimers(m_manualClock)
    , m_store(m_manualTimers, 3)
    , m_timers(m_context)
    , m_health(m_clock)
    , m_replicas(m_clock)
    , m_ledger(m_clock, m_timers, m_store, m_health, 1)
    , m_turns(m_clock, m_timers, m_store, m_health, 1'000'000, 1)
    , m_vms(m_clock, {}, 1)
    , m_grants(m_clock, m_timers, m_ledger, m_health, "vm/1")
    , m_relay(m_clock, m_timers, m_ledger, m_grants, m_vms, nullptr)
    , m_streams(m_timers, m_replicas, m_vms, nullptr)
    , m_outputs(m_timers, m_vms, 1'000'000, nullptr)
    , m_limits(m_clock)
    , m_permits(m_clock, m_timers, m_limits, m_vms, nullptr, 1)
    , m_quarantine(m_clock, m_timers, m_vms, nullptr)
    , m_lease(m_clock)
    , m_quotas(m_clock, m_timers, m_vms, nullptr, 1)
    , m_scheduler({m_clock, m_timers, m_replicas, m_relay, m_turns, m_streams, m_outputs, m_vms,
                   m_health, m_limits, m_permits, m_quarantine, m_lease, m_quotas, ZoneId("z")})
    , m_replicaConnections(m_context.get_executor(), m_clock)
    , m_forwarder(m_context, m_scheduler, m_replicaConnections, m_clock, m_counters, m_received)
    , m_front(m_context, FrontEndpoint, m_forwarder, "secret")
{
    advanceStoreClock();
}

void PlatformSession::configure()
{
    const auto table = decodeConfiguration(Configuration, KeyHasher("secret"));
    ASSERT_TRUE(table.ok()) << table.status().message();
    m_scheduler.setRouteTable(*table);
    m_front.setLimits((*table)->limits);
}

void PlatformSession::configureOrganisations(int version, const std::string &organisations)
{
    std::string text = Configuration;
    text.replace(text.find("\"version\":3"), std::string("\"version\":3").size(),
                 absl::StrCat("\"version\":", version, ",\"tenants\":", organisations));
    const auto table = decodeConfiguration(text, KeyHasher("secret"));
    ASSERT_TRUE(table.ok()) << table.status().message();
    m_scheduler.setRouteTable(*table);
}

ScriptedReplica &PlatformSession::addReplica(ReplicaBehaviour behaviour, const std::string &version,
                                             std::int64_t slots)
{
    const auto port = static_cast<std::uint16_t>(FirstReplicaPort + m_scripted.size());
    m_scripted.push_back(std::make_unique<ScriptedReplica>(m_context, port, std::move(behaviour)));
    ReplicaEntry entry;
    entry.id = ReplicaId(absl::StrCat("i-", m_scripted.size()));
    entry.service = PoolName("app");
    entry.endpoint = {"127.0.0.9", port};
    entry.zone = ZoneId("z");
    entry.softwareVersion = SoftwareVersion(version);
    entry.slots = slots;
    m_replicas.put(entry);
    m_entries.push_back(entry);
    return *m_scripted.back();
}

void PlatformSession::renewReplicas()
{
    for (ReplicaEntry &entry : m_entries) {
        m_replicas.remove(entry.id, m_clock.now());
        entry.id = ReplicaId(entry.id.value() + "n");
        m_replicas.put(entry);
    }
}

std::string PlatformSession::exchange(const std::string &bytes, const std::string &until)
{
    return exchangeOn(*connectCaller(), bytes, until);
}

std::shared_ptr<tcp::socket> PlatformSession::connectCaller()
{
    auto socket = std::make_shared<tcp::socket>(m_context);
    socket->connect({asio::ip::make_address(FrontEndpoint.address), FrontEndpoint.port});
    return socket;
}

std::string PlatformSession::exchangeOn(tcp::socket &socket, const std::string &bytes,
                                        const std::string &until)
{
    std::string answer;
    asio::co_spawn(
        m_context,
        [&]() -> asio::awaitable<void> {
            co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
            std::array<char, 4096> received{};
            std::size_t searched = 0;
            while (answer.find(until, searched) == std::string::npos) {
                searched = answer.size() - std::min(answer.size(), until.size());
                boost::system::error_code error;
                const std::size_t size = co_await socket.async_read_some(
                    asio::buffer(received), asio::redirect_error(asio::use_awaitable, error));
                answer.append(received.data(), size);
                if (error) {
                    answer += "<closed>";
                    break;
                }
            }
            m_done = true;
        },
        asio::detached);
    m_done = false;
    while (!m_done) {
        m_context.run_one();
    }
    return answer;
}

void PlatformSession::exchangeAtOnce(int count, const std::function<std::string(int)> &bytesOf)
{
    for (int number = 0; number < count; ++number) {
        m_openExchanges += 1;
        asio::co_spawn(m_context, discardAnswer(bytesOf(number)), asio::detached);
    }
    while (m_openExchanges > 0) {
        m_context.run_one();
    }
}

asio::awaitable<void> PlatformSession::discardAnswer(std::string bytes)
{
    tcp::socket socket(m_context);
    co_await socket.async_connect(
        {asio::ip::make_address(FrontEndpoint.address), FrontEndpoint.port}, asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
    std::array<char, 16'384> received{};
    boost::system::error_code error;
    while (!error) {
        co_await socket.async_read_some(asio::buffer(received),
                                        asio::redirect_error(asio::use_awaitable, error));
    }
    m_openExchanges -= 1;
}

void PlatformSession::advanceStoreClock()
{
    m_timers.after(StoreClockStep, [this] {
        m_manualTimers.run(StoreClockStep);
        advanceStoreClock();
    });
}

} // namespace boragepath::platform
