#pragma once

#include "peers/gen/messages_types.h"

#include <optional>
#include <string>

namespace boragepath {

/**
 * Encodes an envelope as one datagram.
 *
 * A datagram starts with a message authentication code: the first AuthenticationBytes
 * bytes of the HMAC-SHA-256 under the deployment's secret. The envelope follows in
 * Thrift's compact protocol.
 */
std::string encodeDatagram(const peers::Envelope &envelope, const std::string &secret);

/** Decodes a datagram; nothing if its authentication code is wrong or it cannot be decoded. */
std::optional<peers::Envelope> decodeDatagram(const std::string &datagram,
                                              const std::string &secret);

/** Length of the authentication code of a datagram. */
constexpr std::size_t AuthenticationBytes = 8;
/** Longest datagram; an envelope that needs a longer one is not sent. */
constexpr std::size_t MaxDatagramBytes = 60'000;

} // namespace boragepath
