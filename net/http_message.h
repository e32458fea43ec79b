#pragma once

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace boragepath {

/** A header field by name and value. */
struct HttpField
{
    std::string name;
    std::string value;
};

/** A request, as a server received it or a client will send it. */
struct HttpRequest
{
    std::string method = "GET";
    /** Path and query. */
    std::string target = "/";
    std::vector<HttpField> fields;
    std::string body;

    /** Values of all fields with this name, without regard to case. */
    std::vector<std::string> valuesOf(const std::string &name) const;
    /** Value of the first field with this name, or empty. */
    std::string valueOf(const std::string &name) const;
    /** The target without its query. */
    std::string path() const;
    /** A parameter of the query, percent-decoded, or empty. */
    std::string query(const std::string &name) const;
};

/** A response with its whole body. */
struct HttpResponse
{
    unsigned status = 200;
    std::vector<HttpField> fields;
    std::string body;

    std::string valueOf(const std::string &name) const;
};

/** Answers one request: either send(), or beginStream(), chunk()s and endStream(). */
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    /** Sends a whole response; false if the connection is lost. */
    virtual boost::asio::awaitable<bool> send(const HttpResponse &response) = 0;
    /** Sends status and header of a response whose body follows in chunks. */
    virtual boost::asio::awaitable<bool> beginStream(const HttpResponse &header) = 0;
    virtual boost::asio::awaitable<bool> chunk(const std::string &data) = 0;
    virtual boost::asio::awaitable<bool> endStream() = 0;
    /** True once beginStream() was called. */
    virtual bool streaming() const = 0;
};

} // namespace boragepath
