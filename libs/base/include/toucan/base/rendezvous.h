#pragma once

#include "toucan/base/stable_hash.h"
#include "toucan/base/vm_address.h"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <vector>

namespace toucan {

/// Orders candidates by the rendezvous hash of a key. All processes with the same candidates
/// compute the same order. Removing a candidate reassigns only the keys that were assigned to it.
/// @param key key to assign to a candidate.
/// @param limit maximum number of addresses to return; the first has the highest weight.
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
