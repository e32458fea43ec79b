#include "core/key_digest.h"

#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <cstring>

namespace boragepath {

std::string KeyDigest::text() const
{
    return absl::BytesToHexString(
        std::string(reinterpret_cast<const char *>(m_bytes.data()), m_bytes.size()));
}

std::size_t KeyDigest::hash() const
{
    std::size_t result = 0;
    std::memcpy(&result, m_bytes.data(), sizeof(result));
    return result;
}

bool operator==(const KeyDigest &left, const KeyDigest &right)
{
    return CRYPTO_memcmp(left.m_bytes.data(), right.m_bytes.data(), KeyDigest::Bytes) == 0;
}

std::optional<KeyDigest> parseKeyDigest(std::string_view text)
{
    const bool isHex = std::all_of(text.begin(), text.end(),
                                   [](unsigned char c) { return std::isxdigit(c) != 0; });
    if (text.size() != 2 * KeyDigest::Bytes || !isHex) {
        return std::nullopt;
    }
    const std::string raw = absl::HexStringToBytes(std::string(text));
    std::array<unsigned char, KeyDigest::Bytes> bytes{};
    std::copy(raw.begin(), raw.end(), bytes.begin());
    return KeyDigest(bytes);
}

KeyDigest KeyHasher::digestOf(std::string_view key) const
{
    std::array<unsigned char, KeyDigest::Bytes> bytes{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), m_secret.data(), static_cast<int>(m_secret.size()),
         reinterpret_cast<const unsigned char *>(key.data()), key.size(), bytes.data(), &size);
    return KeyDigest(bytes);
}

} // namespace boragepath
