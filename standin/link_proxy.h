#pragma once

#include "core/clock.h"
#include "core/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace boragepath {

/** What a link does to the bytes that pass it. */
struct LinkFaults
{
    /** Bytes towards the target, or back, are taken and never passed on. */
    bool silentTowards = false;
    bool silentBack = false;
    /** New connections are reset at once. */
    bool refuses = false;
    /** Added to each read of bytes. */
    Milliseconds delay{0};
};

/** A TCP link on loopback that can be delayed, cut one way, silenced and reset; for one thread. */
class LinkProxy
{
public:
    LinkProxy(boost::asio::io_context &context, const Endpoint &listenAt, Endpoint target);

    LinkFaults &faults() { return *m_faults; }
    /** Resets all connections that are open now. */
    void resetAll();

private:
    using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(Socket caller);
    static boost::asio::awaitable<void> pass(Socket from, Socket to,
                                             std::shared_ptr<LinkFaults> faults, bool towards);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Endpoint m_target;
    std::shared_ptr<LinkFaults> m_faults = std::make_shared<LinkFaults>();
    std::vector<std::weak_ptr<boost::asio::ip::tcp::socket>> m_open;
};

} // namespace boragepath
