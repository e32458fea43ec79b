#pragma once

#include "core/settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace boragepath {

/**
 * Answers each request as soon as its head has arrived, reads nothing of its body, and resets the
 * connection a while later.
 */
class EarlyServer
{
public:
    EarlyServer(boost::asio::io_context &context, const Endpoint &endpoint)
        : m_acceptor(context)
    {
        const boost::asio::ip::tcp::endpoint local(boost::asio::ip::make_address(endpoint.address),
                                                   endpoint.port);
        m_acceptor.open(local.protocol());
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        // Connections inherit it, so that a longer request is still being written at the reset.
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
        m_acceptor.bind(local);
        m_acceptor.listen();
        boost::asio::co_spawn(context, accept(), boost::asio::detached);
    }

    /** The answer to all requests from now on. */
    std::string answer;
    int requests = 0;

private:
    using Socket = boost::asio::ip::tcp::socket;

    static constexpr int ReceiveBufferBytes = 8'192;
    static constexpr std::chrono::milliseconds TimeToReset{40};

    boost::asio::awaitable<void> accept()
    {
        for (;;) {
            Socket socket = co_await m_acceptor.async_accept(boost::asio::use_awaitable);
            boost::asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)),
                                  boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(Socket socket)
    {
        using boost::asio::redirect_error;
        using boost::asio::use_awaitable;
        boost::system::error_code error;
        std::string request;
        co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request),
                                               "\r\n\r\n", redirect_error(use_awaitable, error));
        if (error) {
            co_return;
        }
        requests += 1;
        co_await boost::asio::async_write(socket, boost::asio::buffer(answer),
                                          redirect_error(use_awaitable, error));
        boost::asio::steady_timer timer(m_acceptor.get_executor(), TimeToReset);
        co_await timer.async_wait(redirect_error(use_awaitable, error));
        socket.set_option(boost::asio::socket_base::linger(true, 0), error);
        socket.close(error);
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace boragepath
