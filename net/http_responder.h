#pragma once

#include "net/http_types.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace boragepath {

/**
 * Answers one request: either by send(), or by beginStream(), sendChunk() and then endStream() or
 * breakOff().
 */
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    /** Sends a whole response; false if the connection is broken, as for the functions below. */
    virtual boost::asio::awaitable<bool> send(const HttpResponse &response) = 0;
    /** Sends status and header fields of a response whose body follows in chunks. */
    virtual boost::asio::awaitable<bool> beginStream(const HttpResponse &header) = 0;
    /** Sends a part of the body; an empty one sends nothing. */
    virtual boost::asio::awaitable<bool> sendChunk(const std::string &data) = 0;
    /** Sends the chunk that ends the body. */
    virtual boost::asio::awaitable<bool> endStream() = 0;
    /** Ends a body that is not complete, by the end of the connection without that chunk. */
    virtual void breakOff() = 0;
    /** True after beginStream() was called. */
    virtual bool streaming() const = 0;
};

} // namespace boragepath
