#pragma once

#include <cstdint>
#include <string_view>

namespace toucan {

/// A 64-bit hash that is the same in every process and on every run, for rendezvous hashing.
/// @param data bytes to hash.
/// @param seed separates independent uses.
std::uint64_t stable_hash(std::string_view data, std::uint64_t seed = 0);

/// Low half of the stable hash, for names in messages that have to stay short.
std::uint32_t short_hash(std::string_view data);

} // namespace toucan
