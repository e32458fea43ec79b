#include "core/endpoint.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/ip/address.hpp>

namespace boragepath {

std::string Endpoint::text() const
{
    return absl::StrCat(address, ":", port);
}

absl::StatusOr<Endpoint> parseEndpoint(const std::string &text)
{
    const absl::Status invalid = absl::InvalidArgumentError(
        absl::StrCat("\"", text, "\" must be an IP address in numbers, a colon and a port"));
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return invalid;
    }
    std::uint32_t port = 0;
    if (!absl::SimpleAtoi(text.substr(colon + 1), &port) || port == 0 || port > 65'535) {
        return invalid;
    }
    boost::system::error_code error;
    boost::asio::ip::make_address(text.substr(0, colon), error);
    if (error) {
        return invalid;
    }
    return Endpoint{text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

} // namespace boragepath
