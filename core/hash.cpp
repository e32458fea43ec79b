#include "core/hash.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace boragepath {

namespace {

/** Keeps the encoding of fingerprints short. */
constexpr int FingerprintBits = 48;

} // namespace

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::int64_t fingerprintOf(std::string_view text)
{
    return static_cast<std::int64_t>(hashOf(text) >> (64 - FingerprintBits));
}

ShardIndex shardOf(const ProgramKey &key, std::uint32_t shardCount)
{
    const std::string name = absl::StrCat(key.entry.value(), "/", key.program.value());
    return ShardIndex(static_cast<std::uint32_t>(hashOf(name) % shardCount));
}

std::uint64_t rendezvousWeight(std::string_view item, std::string_view candidate)
{
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), hashOf(item));
}

std::string saltedKeyHash(const std::string &salt, const std::string &key)
{
    const std::string input = absl::StrCat(salt, ":", key);
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<const unsigned char *>(input.data()), input.size(),
           reinterpret_cast<unsigned char *>(digest.data()));
    return absl::BytesToHexString(digest);
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace boragepath
