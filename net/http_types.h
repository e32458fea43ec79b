#pragma once

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
    std::vector<std::string> headerValues(const std::string &name) const;
    /** Value of the first field with this name, or empty. */
    std::string headerValue(const std::string &name) const;
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

    std::string headerValue(const std::string &name) const;
};

} // namespace boragepath
