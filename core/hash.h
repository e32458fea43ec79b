#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace boragepath {

/** The 64-bit XXH3 hash of @p text. It is the same on all machines and in all versions. */
std::uint64_t hashOf(std::string_view text);

/**
 * A short hash of @p text that names a thing in messages between VMs. Among thousands of things no
 * two are likely to have the same one.
 */
std::int64_t fingerprintOf(std::string_view text);

/** The shard that a program belongs to, of @p shardCount shards. */
ShardIndex shardOf(const ProgramKey &key, std::uint32_t shardCount);

/** The weight of @p candidate for @p item in rendezvous hashing; the highest weight wins. */
std::uint64_t rendezvousWeight(std::string_view item, std::string_view candidate);

/** The SHA-256 of salt and key in hexadecimal, as catalogue entries store bearer keys. */
std::string saltedKeyHash(const std::string &salt, const std::string &key);

/** Compares two strings in a time that depends only on their lengths, not their contents. */
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace boragepath
