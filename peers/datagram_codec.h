#pragma once

#include "peers/gen/messages_types.h"

#include <optional>
#include <string>

namespace boragepath {

/**
 * Encodes an envelope as one datagram: an authentication code of
 * AuthenticationBytes bytes (HMAC-SHA-256 under the deployment's secret, cut
 * short), then the envelope in Thrift's compact protocol.
 */
std::string encodeDatagram(const peers::Envelope &envelope, const std::string &secret);

/** Decodes a datagram; nothing if its code or its form is wrong. */
std::optional<peers::Envelope> decodeDatagram(const std::string &datagram,
                                              const std::string &secret);

constexpr std::size_t AuthenticationBytes = 8;
/** Longest datagram; longer envelopes are not sent. */
constexpr std::size_t MaxDatagramBytes = 60'000;

} // namespace boragepath
