#include "toucan/base/stable_hash.h"

namespace toucan {

std::uint64_t stable_hash(std::string_view data, std::uint64_t seed)
{
    // FNV-1a, followed by the SplitMix64 finalizer: FNV-1a alone mixes the high bits poorly.
    std::uint64_t hash = 0xcbf29ce484222325U ^ (seed * 0x9e3779b97f4a7c15U);
    for (const char it : data) {
        hash ^= static_cast<unsigned char>(it);
        hash *= 0x100000001b3U;
    }
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9U;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebU;
    return hash ^ (hash >> 31U);
}

std::uint32_t short_hash(std::string_view data)
{
    return static_cast<std::uint32_t>(stable_hash(data));
}

} // namespace toucan
