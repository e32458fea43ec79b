#pragma once

#include "net/http_types.h"

#include <boost/beast/http/message.hpp>

#include <string>

namespace boragepath {

/** Copies method, target and header fields of a request that Beast has read, not its body. */
template <typename Body> HttpRequest requestHead(const boost::beast::http::request<Body> &message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return request;
}

} // namespace boragepath
