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

/** What became of the attempt to open a connection. */
enum class ConnectResult {
    Connected,
    Refused, ///< The machine answers, and nobody listens at the address.
    Failed, ///< No answer in time, or another error.
};

/** One connection to a backend server; serves one request at a time. */
class ReplicaConnection
{
public:
    ReplicaConnection(const boost::asio::any_io_executor &executor, const Clock &clock);
    ~ReplicaConnection();

    /** Connects within @p limit. */
    boost::asio::awaitable<ConnectResult> connect(const Endpoint &endpoint, Milliseconds limit);
    /** Sends a request head and its body; false if the connection failed. */
    boost::asio::awaitable<bool>
    send(const std::string &head, const std::vector<const std::string *> &body, SteadyTime until);
    /** Reads the head of the next final response; false if none arrives before @p until. */
    boost::asio::awaitable<bool> readHead(HttpResponse &head, SteadyTime until);
    /** Appends the next part of the body; false on failure. responseComplete() marks its end. */
    boost::asio::awaitable<bool> readSome(std::string &body, SteadyTime until);
    /** Requests that have been sent on the connection, the present one included. */
    int requestsSent() const { return m_requestsSent; }
    /** A part of a final response has arrived, if only of its head. */
    bool responseBegun() const;
    /** The whole response has arrived. */
    bool responseComplete() const;
    /** The connection can be reused: no bytes are left over, and the server keeps it open. */
    bool reusable() const;
    /** Prevents reuse of the connection. */
    void markUnusable() { m_unusable = true; }
    /** Closes the connection and ends all operations that wait on it. */
    void close();
    /** The server has closed or reset the connection while something was read or written. */
    bool brokenByServer() const { return m_brokenByServer; }
    /** False if the server has closed the connection or sent unrequested bytes. */
    bool isQuiet();

private:
    struct State;

    void noteError(const boost::system::error_code &error);

    const Clock &m_clock;
    std::unique_ptr<State> m_state;
    int m_requestsSent = 0;
    bool m_unusable = false;
    bool m_brokenByServer = false;
};

/** Keeps connections to backend servers open between requests; to be used by one thread. */
class ReplicaConnectionPool
{
public:
    ReplicaConnectionPool(boost::asio::any_io_executor executor, const Clock &clock);
    ~ReplicaConnectionPool();

    /** Takes out an idle connection that was used within @p maxIdleTime; null if there is none. */
    std::shared_ptr<ReplicaConnection> takeIdle(const Endpoint &endpoint, Duration maxIdleTime);
    /** Creates a connection that is not connected yet. */
    std::shared_ptr<ReplicaConnection> makeConnection() const;
    /** Keeps a connection for reuse, but for no longer than @p keepAliveTimeout. */
    void returnIdle(const Endpoint &endpoint, std::shared_ptr<ReplicaConnection> connection,
                    Duration keepAliveTimeout);
    /** Closes connections whose keep-alive timeout has passed. */
    void closeExpired();

private:
    struct IdleConnection
    {
        std::shared_ptr<ReplicaConnection> connection;
        SteadyTime idleSince;
        SteadyTime expiresAt;
    };

    boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    std::map<Endpoint, std::vector<IdleConnection>> m_idle;
};

} // namespace boragepath
