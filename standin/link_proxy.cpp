#include "standin/link_proxy.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace boragepath {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t BufferSize = 16'384;

/** Ends a connection with a reset instead of an ordinary close. */
void reset(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

LinkProxy::LinkProxy(asio::io_context &context, const Endpoint &listenAt, Endpoint target)
    : m_context(context)
    , m_acceptor(context)
    , m_listenAt(asio::ip::make_address(listenAt.address), listenAt.port)
    , m_target(std::move(target))
{
    setListening(true);
}

void LinkProxy::setListening(bool listening)
{
    if (listening == m_acceptor.is_open()) {
        return;
    }
    if (!listening) {
        m_acceptor.close();
        return;
    }
    m_acceptor.open(m_listenAt.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(m_listenAt);
    m_acceptor.listen();
    asio::co_spawn(m_context, accept(), asio::detached);
}

void LinkProxy::resetAll()
{
    for (const auto &open : m_sockets) {
        if (const Socket socket = open.lock()) {
            reset(*socket);
        }
    }
    m_sockets.clear();
}

asio::awaitable<void> LinkProxy::accept()
{
    for (;;) {
        boost::system::error_code error;
        auto caller = std::make_shared<tcp::socket>(
            co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error)));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            continue;
        }
        if (m_faults->resetsNewConnections) {
            reset(*caller);
            continue;
        }
        asio::co_spawn(m_context, serve(caller), asio::detached);
    }
}

asio::awaitable<void> LinkProxy::serve(Socket caller)
{
    const auto target = std::make_shared<tcp::socket>(m_context);
    boost::system::error_code error;
    const tcp::endpoint address(asio::ip::make_address(m_target.address), m_target.port);
    co_await target->async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        reset(*caller);
        co_return;
    }
    std::erase_if(m_sockets, [](const auto &open) { return open.expired(); });
    m_sockets.push_back(caller);
    m_sockets.push_back(target);
    asio::co_spawn(m_context, forward(caller, target, m_faults, true), asio::detached);
    co_await forward(target, caller, m_faults, false);
}

asio::awaitable<void> LinkProxy::forward(Socket from, Socket to, std::shared_ptr<LinkFaults> faults,
                                         bool toTarget)
{
    std::array<char, BufferSize> bytes{};
    // Once bytes were dropped, nothing further is delivered: a stream with a gap must not arrive.
    bool dropping = false;
    for (;;) {
        boost::system::error_code error;
        const std::size_t size = co_await from->async_read_some(
            asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        if (faults->delay.count() > 0) {
            asio::steady_timer timer(co_await asio::this_coro::executor, faults->delay);
            co_await timer.async_wait(asio::use_awaitable);
        }
        dropping = dropping || (toTarget ? faults->dropsToTarget : faults->dropsToCaller);
        if (dropping) {
            continue;
        }
        co_await asio::async_write(*to, asio::buffer(bytes.data(), size),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
    }
    boost::system::error_code ignored;
    to->close(ignored);
    from->close(ignored);
}

} // namespace boragepath
