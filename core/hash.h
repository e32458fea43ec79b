#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace boragepath {

/** The 64-bit xxHash (XXH3) of @p text; stable across machines and versions. */
std::uint64_t hashOf(std::string_view text);

/** The shard of a program among @p shardCount shards. */
ShardIndex shardOf(const ProgramKey &key, std::uint32_t shardCount);

/** The weight of @p candidate for @p item in a rendezvous hash; the highest wins. */
std::uint64_t rendezvousWeight(std::string_view item, std::string_view candidate);

/** The hexadecimal SHA-256 of salt and key, as catalogue entries keep bearer keys. */
std::string saltedKeyHash(const std::string &salt, const std::string &key);

/** Compares two strings in a time that depends only on their lengths. */
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace boragepath
