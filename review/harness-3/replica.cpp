#include "review/harness-3/replica.h"

namespace review3 {

namespace {

constexpr Millis Heartbeat{1'200};

} // namespace

Replica::Replica(asio::io_context &context, Store &store, ReplicaFacts facts,
                 const Address &address, Run run)
    : m_context(context)
    , m_store(store)
    , m_facts(std::move(facts))
    , m_run(std::move(run))
    , m_listener(context, address,
                 [this](Socket socket, const Request &request) { return handle(socket, request); })
{ }

void Replica::start()
{
    m_lifetime += 1;
    m_sequence = 0;
    m_running = 0;
    m_born = wallMillis();
    m_listener.open();
    asio::co_spawn(m_context, beat(m_lifetime), asio::detached);
}

void Replica::crash()
{
    m_listener.close();
}

void Replica::drain()
{
    m_isDraining = true;
    writeEntry();
}

void Replica::leave()
{
    m_listener.close();
    m_store.remove("servers", m_facts.id);
}

asio::awaitable<void> Replica::beat(int lifetime)
{
    while (lifetime == m_lifetime && isRunning()) {
        writeEntry();
        co_await sleepFor(Heartbeat);
    }
}

void Replica::writeEntry()
{
    m_sequence += 1;
    const json::object entry{{"service", m_facts.service},
                             {"addr", m_listener.address().text()},
                             {"zone", "a"},
                             {"version", m_facts.version},
                             {"slots", m_facts.slots},
                             {"state", m_isDraining ? "draining" : "ready"},
                             {"coldLeftMs", 0},
                             {"seq", m_sequence},
                             {"born", m_born}};
    if (m_reachesStore) {
        m_store.put("servers", m_facts.id, json::serialize(entry));
    }
}

std::string Replica::head(unsigned status, const Request &request) const
{
    return "HTTP/1.1 " + number(status) + " -\r\nAttempt-Id: " + field(request, "Attempt-Id")
        + "\r\nReplica-Seal: seal-of-" + m_facts.id + "\r\nReplica-Load: " + number(m_running)
        + ",0," + number(m_facts.slots) + (m_isDraining ? "\r\nServer-Leaving: 1" : "") + "\r\n";
}

std::string Replica::answer(const Request &request, const std::string &body) const
{
    return head(200, request) + "Content-Length: " + number(static_cast<std::int64_t>(body.size()))
        + "\r\n\r\n" + body;
}

asio::awaitable<bool> Replica::handle(Socket socket, Request request)
{
    const std::string expected = field(request, "Expect-Replica");
    if (!expected.empty() && expected != m_facts.id) {
        const std::string misdirected = "HTTP/1.1 421 Misdirected Request\r\nReplica-Id: "
            + m_facts.id + "\r\nContent-Length: 0\r\n\r\n";
        co_return co_await writeAll(socket, misdirected);
    }
    if (m_running >= m_facts.slots) {
        const std::string busy =
            "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        co_return co_await writeAll(socket, busy);
    }
    const int lifetime = m_lifetime;
    m_running += 1;
    const bool keepsOpen = co_await m_run(*this, socket, request);
    m_running -= lifetime == m_lifetime ? 1 : 0;
    co_return keepsOpen;
}

} // namespace review3
