#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace boragepath {

/** State of a connection's receive side, as far as the local socket can tell. */
enum class PeekResult {
    NoData, ///< The connection is open and there is nothing to read.
    DataAvailable, ///< The peer has sent bytes that were not read yet.
    Closed, ///< The peer has closed the connection, or it failed.
};

/** Checks for received bytes without reading them and without blocking. */
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
