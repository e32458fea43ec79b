#pragma once

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>

namespace boragepath {

/** An IP address and port. */
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;

    /** The endpoint as "address:port". */
    std::string text() const;
};

/**
 * Parses "address:port". The address must be a numeric IP address, not a host name.
 *
 * @return InvalidArgument if the text has another form or the port is not 1 to 65535.
 */
absl::StatusOr<Endpoint> parseEndpoint(const std::string &text);

} // namespace boragepath
