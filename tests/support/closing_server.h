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
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <utility>
#include <vector>

namespace boragepath {

/**
 * Answers the requests of each connection with the same bytes in turn, and closes or resets it
 * after the last ones. Requests have no bodies, or ones that arrive with their heads.
 */
class ClosingServer
{
public:
    ClosingServer(boost::asio::io_context &context, const Endpoint &endpoint, std::string answer,
                  bool resets)
        : ClosingServer(context, endpoint, std::vector<std::string>{std::move(answer)}, resets)
    { }
    ClosingServer(boost::asio::io_context &context, const Endpoint &endpoint,
                  std::vector<std::string> answers, bool resets)
        : m_acceptor(context, {boost::asio::ip::make_address(endpoint.address), endpoint.port})
        , m_answers(std::move(answers))
        , m_resets(resets)
    {
        boost::asio::co_spawn(context, accept(), boost::asio::detached);
    }

private:
    using Socket = boost::asio::ip::tcp::socket;

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
        for (const std::string &answer : m_answers) {
            std::string request;
            co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request),
                                                   "\r\n\r\n",
                                                   redirect_error(use_awaitable, error));
            co_await boost::asio::async_write(socket, boost::asio::buffer(answer),
                                              redirect_error(use_awaitable, error));
        }
        if (m_resets) {
            socket.set_option(boost::asio::socket_base::linger(true, 0), error);
        }
        socket.close(error);
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::string> m_answers;
    bool m_resets;
};

} // namespace boragepath
