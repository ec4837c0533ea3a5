#pragma once

#include "toucan/base/stable_hash.h"
#include "toucan/base/vm_address.h"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <vector>

namespace toucan {

/// Orders candidates by rendezvous hash of a key: all processes with the same candidates agree on
/// the order, and the loss of one candidate moves only what that candidate had.
/// @param key what is being placed.
/// @param candidates addresses to order.
/// @param limit at most this many are returned.
inline std::vector<vm_address>
rendezvous_order(std::string_view key, std::vector<vm_address> candidates, std::size_t limit)
{
    const auto weight = [seed = stable_hash(key)](const vm_address& it) {
        return stable_hash(it.to_string(), seed);
    };
    std::sort(candidates.begin(), candidates.end(), [&](const auto& lhs, const auto& rhs) {
        const auto left = weight(lhs);
        const auto right = weight(rhs);
        return left != right ? left > right : lhs < rhs;
    });
    candidates.resize(std::min(limit, candidates.size()));
    return candidates;
}

} // namespace toucan
