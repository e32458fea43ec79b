#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace boragepath {

/**
 * Keyed hash of an API key, by which the key is recognized without being kept. Nobody who doesn't
 * know the deployment's secret can find the key by hashing guesses.
 */
class KeyDigest
{
public:
    static constexpr std::size_t Bytes = 32;

    KeyDigest() = default;
    explicit KeyDigest(const std::array<unsigned char, Bytes> &bytes)
        : m_bytes(bytes)
    { }

    /** 64 hexadecimal digits, for messages between VMs. */
    std::string text() const;
    std::size_t hash() const;

    /** Takes the same time for all digests. */
    friend bool operator==(const KeyDigest &left, const KeyDigest &right);

private:
    std::array<unsigned char, Bytes> m_bytes{};
};

/** Reads what KeyDigest::text() has written; nothing on error. */
std::optional<KeyDigest> parseKeyDigest(std::string_view text);

/** Computes the digests of API keys with HMAC-SHA-256. */
class KeyHasher
{
public:
    /** @param secret the same on all VMs of a deployment, and known to nobody else. */
    explicit KeyHasher(std::string secret)
        : m_secret(std::move(secret))
    { }

    KeyDigest digestOf(std::string_view key) const;

private:
    std::string m_secret;
};

} // namespace boragepath

template <> struct std::hash<boragepath::KeyDigest>
{
    std::size_t operator()(const boragepath::KeyDigest &digest) const noexcept
    {
        return digest.hash();
    }
};
