#include "peers/datagram_codec.h"

#include "core/hash.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace boragepath {

namespace {

using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

std::string computeAuthenticationCode(const std::string &body, const std::string &secret)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(body.data()), body.size(), digest, &size);
    return {reinterpret_cast<const char *>(digest), AuthenticationBytes};
}

} // namespace

std::string encodeDatagram(const peers::Envelope &envelope, const std::string &secret)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(buffer);
    envelope.write(&protocol);
    const std::string body = buffer->getBufferAsString();
    return computeAuthenticationCode(body, secret) + body;
}

std::optional<peers::Envelope> decodeDatagram(const std::string &datagram,
                                              const std::string &secret)
{
    if (datagram.size() <= AuthenticationBytes) {
        return std::nullopt;
    }
    const std::string body = datagram.substr(AuthenticationBytes);
    const std::string code = datagram.substr(0, AuthenticationBytes);
    if (!equalInConstantTime(code, computeAuthenticationCode(body, secret))) {
        return std::nullopt;
    }
    const auto buffer = std::make_shared<TMemoryBuffer>();
    buffer->write(reinterpret_cast<const std::uint8_t *>(body.data()),
                  static_cast<std::uint32_t>(body.size()));
    TCompactProtocol protocol(buffer);
    peers::Envelope envelope;
    try {
        envelope.read(&protocol);
    } catch (const TException &) {
        return std::nullopt;
    }
    return envelope;
}

} // namespace boragepath
