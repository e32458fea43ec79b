#pragma once

#include "net/http_types.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace boragepath {

/** Answers one request: either send(), or beginStream(), chunk()s and endStream(). */
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    /** Sends a whole response; false if the connection is lost. */
    virtual boost::asio::awaitable<bool> send(const HttpResponse &response) = 0;
    /** Sends status and header of a response whose body follows in chunks. */
    virtual boost::asio::awaitable<bool> beginStream(const HttpResponse &header) = 0;
    virtual boost::asio::awaitable<bool> sendChunk(const std::string &data) = 0;
    virtual boost::asio::awaitable<bool> endStream() = 0;
    /** True once beginStream() was called. */
    virtual bool streaming() const = 0;
};

} // namespace boragepath
