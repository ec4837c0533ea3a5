#pragma once

#include <cstdint>
#include <string_view>

namespace toucan {

/// 64-bit hash for rendezvous hashing. The value is the same in every process and on every run.
/// @param seed selects a hash function; different seeds give independent hashes.
std::uint64_t stable_hash(std::string_view data, std::uint64_t seed = 0);

/// Low 32 bits of `stable_hash`. Stands for a name in messages with a size limit.
std::uint32_t short_hash(std::string_view data);

} // namespace toucan
