#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace boragepath {

/** A header field. */
struct HttpField
{
    std::string name;
    std::string value;
};

/** A request that a server received or a client will send. */
struct HttpRequest
{
    std::string method = "GET";
    /** Path and query. */
    std::string target = "/";
    std::vector<HttpField> fields;
    std::string body;

    /** Values of all header fields with this name; names are compared without regard to case. */
    std::vector<std::string> headerValues(const std::string &name) const;
    /** Value of the first header field with this name, or empty. */
    std::string headerValue(const std::string &name) const;
    /** The target without its query string. */
    std::string path() const;
    /** Value of a query parameter, percent-decoded; empty if it is absent. */
    std::string query(const std::string &name) const;
};

/** A response with its whole body. */
struct HttpResponse
{
    unsigned status = 200;
    std::vector<HttpField> fields;
    std::string body;

    /** Values of all header fields with this name; names are compared without regard to case. */
    std::vector<std::string> headerValues(const std::string &name) const;
    /** Value of the first header field with this name, or empty. */
    std::string headerValue(const std::string &name) const;
};

} // namespace boragepath
