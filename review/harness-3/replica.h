#pragma once

#include "review/harness-3/harness.h"

namespace review3 {

/** What a replica says of itself in the registry. */
struct ReplicaFacts
{
    std::string id;
    std::string service;
    std::string version = "v1";
    int slots = 6;
};

/** A replica: a listener with an entry in the registry, which can crash and start again. */
class Replica
{
public:
    /** Runs a request and writes the answer; false if the channel is to be closed. */
    using Run = std::function<asio::awaitable<bool>(Replica &, Socket, const Request &)>;

    Replica(asio::io_context &context, Store &store, ReplicaFacts facts, const Address &address,
            Run run);

    /** Begins a new lifetime under the same id and registers it. */
    void start();
    /** Ends as a crashed process does: all channels break off and nobody listens any more. */
    void crash();
    /** Reports that it drains, at once; it goes on serving. */
    void drain();
    /** Ends after it has drained, and takes its entry out of the registry. */
    void leave();
    bool isRunning() const { return m_listener.isOpen(); }
    /** While it does not, it says nothing of itself in the registry. */
    void setReachesStore(bool reaches) { m_reachesStore = reaches; }
    /** Counts the starts. */
    int lifetime() const { return m_lifetime; }
    ReplicaFacts &facts() { return m_facts; }
    /** Head of an answer of its own to a request, up to the length or the chunks. */
    std::string head(unsigned status, const Request &request) const;
    /** A whole answer of its own. */
    std::string answer(const Request &request, const std::string &body) const;

private:
    asio::awaitable<bool> handle(Socket socket, Request request);
    asio::awaitable<void> beat(int lifetime);
    void writeEntry();

    asio::io_context &m_context;
    Store &m_store;
    ReplicaFacts m_facts;
    Run m_run;
    Listener m_listener;
    bool m_reachesStore = true;
    bool m_isDraining = false;
    int m_lifetime = 0;
    int m_running = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_born = 0;
};

} // namespace review3
