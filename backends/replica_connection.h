#pragma once

#include "core/clock.h"
#include "core/settings.h"
#include "net/http_types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace boragepath {

/** One connection to a backend server; serves one request at a time. */
class ReplicaConnection
{
public:
    explicit ReplicaConnection(const boost::asio::any_io_executor &executor);
    ~ReplicaConnection();

    boost::asio::awaitable<bool> connect(const Endpoint &endpoint, Milliseconds limit);
    /** Sends a request head and its body; false if the connection broke. */
    boost::asio::awaitable<bool>
    send(const std::string &head, const std::vector<const std::string *> &body, SteadyTime until);
    /** Reads the head of the next response; false if none arrives in time. */
    boost::asio::awaitable<bool> readHead(HttpResponse &head, SteadyTime until);
    /** Appends some of the body; false if it breaks off. done() tells its end. */
    boost::asio::awaitable<bool> readSome(std::string &body, SteadyTime until);
    /** The whole response has arrived. */
    bool done() const;
    /** It may carry another request: nothing is left over, and the server keeps it open. */
    bool reusable() const;
    /** No longer usable, whatever was read. */
    void spoil() { m_spoiled = true; }
    /** Ends all that waits on this connection. */
    void close();
    /** False if the server has closed it, or sent what nobody asked for. */
    bool silent();

private:
    struct State;
    std::unique_ptr<State> m_state;
    bool m_spoiled = false;
};

/** Keeps connections to backend servers open between requests; for one thread. */
class ReplicaConnectionPool
{
public:
    ReplicaConnectionPool(boost::asio::any_io_executor executor, const Clock &clock);
    ~ReplicaConnectionPool();

    /** An idle connection that was used within @p freshness, or null. */
    std::shared_ptr<ReplicaConnection> takeIdle(const Endpoint &endpoint, Duration freshness);
    std::shared_ptr<ReplicaConnection> makeLink() const;
    /** Keeps a connection for further use; the server closes it after @p idleLimit. */
    void giveBack(const Endpoint &endpoint, std::shared_ptr<ReplicaConnection> link,
                  Duration idleLimit);
    /** Closes connections that have been idle for too long. */
    void closeExpired();

private:
    struct Idle
    {
        std::shared_ptr<ReplicaConnection> link;
        SteadyTime since;
        SteadyTime until;
    };

    boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    std::map<Endpoint, std::vector<Idle>> m_idle;
};

} // namespace boragepath
