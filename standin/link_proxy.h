#pragma once

#include "core/clock.h"
#include "core/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace boragepath {

/** Faults that a link applies to the traffic it forwards. */
struct LinkFaults
{
    /** Reads the bytes towards the target, or back to the caller, and drops them. */
    bool dropsToTarget = false;
    bool dropsToCaller = false;
    /** Resets new connections at once. */
    bool resetsNewConnections = false;
    /** Delay before each block of bytes is forwarded. */
    Milliseconds delay{0};
};

/**
 * A TCP proxy on loopback that can delay, drop (in one direction or both) and reset the traffic
 * between a caller and a target. Not thread-safe.
 */
class LinkProxy
{
public:
    LinkProxy(boost::asio::io_context &context, const Endpoint &listenAt, Endpoint target);

    LinkFaults &faults() { return *m_faults; }
    /** Resets all connections that are currently open. */
    void resetAll();
    /** While it does not listen, connections are refused, as by a machine without that process. */
    void setListening(bool listening);

private:
    using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(Socket caller);
    static boost::asio::awaitable<void> forward(Socket from, Socket to,
                                                std::shared_ptr<LinkFaults> faults, bool toTarget);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_listenAt;
    Endpoint m_target;
    std::shared_ptr<LinkFaults> m_faults = std::make_shared<LinkFaults>();
    std::vector<std::weak_ptr<boost::asio::ip::tcp::socket>> m_sockets;
};

} // namespace boragepath
