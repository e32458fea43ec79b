#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace boragepath {

/** What waits on an open connection, as far as this side can see. */
enum class PeekResult {
    NoData, ///< Open and silent.
    DataAvailable, ///< The other side has sent something.
    Closed, ///< The other side has closed it, or it broke.
};

/** Looks without taking anything, and without waiting. */
inline PeekResult peek(boost::asio::ip::tcp::socket &socket)
{
    char byte = 0;
    boost::system::error_code error;
    socket.non_blocking(true, error);
    const std::size_t size = socket.receive(boost::asio::buffer(&byte, 1),
                                            boost::asio::ip::tcp::socket::message_peek, error);
    if (error == boost::asio::error::would_block) {
        return PeekResult::NoData;
    }
    return !error && size > 0 ? PeekResult::DataAvailable : PeekResult::Closed;
}

} // namespace boragepath
