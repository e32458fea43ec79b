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

    /** "address:port". */
    std::string text() const;
};

/** Parses "address:port" with an address in numbers. */
absl::StatusOr<Endpoint> parseEndpoint(const std::string &text);

} // namespace boragepath
