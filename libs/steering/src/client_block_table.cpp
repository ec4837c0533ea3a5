#include "toucan/steering/client_block_table.h"

#include "toucan/steering/cidr.h"
#include "toucan/steering/client_block_table_builder.h"

#include <algorithm>

namespace toucan::steering {

client_block_table::client_block_table(const std::vector<client_block>& blocks)
{
    auto sorted = blocks;
    for (auto& it : sorted) {
        it.ip &= prefix_mask(it.prefix_length);
    }
    std::sort(sorted.begin(), sorted.end());
    client_block_table_builder builder;
    builder.reserve(sorted.size());
    for (const auto& it : sorted) {
        builder.add(it);
    }
    *this = builder.build();
}

const failure_domain_name* client_block_table::find(std::uint32_t ip) const
{
    if (!ranges_) {
        return nullptr;
    }
    const auto& starts = ranges_->starts;
    const auto it = std::upper_bound(starts.begin(), starts.end(), ip);
    if (it == starts.begin()) {
        return nullptr;
    }
    const auto target = ranges_->target_indexes[static_cast<std::size_t>(it - starts.begin()) - 1];
    return target == no_target ? nullptr : &ranges_->targets[target];
}

std::size_t client_block_table::size() const
{
    return ranges_ ? ranges_->block_count : 0;
}

std::size_t client_block_table::memory_bytes() const
{
    if (!ranges_) {
        return 0;
    }
    return ranges_->starts.capacity() * sizeof(std::uint32_t) +
           ranges_->target_indexes.capacity() * sizeof(std::uint16_t) +
           ranges_->targets.capacity() * sizeof(failure_domain_name);
}

const std::vector<failure_domain_name>& client_block_table::targets() const
{
    static const std::vector<failure_domain_name> none;
    return ranges_ ? ranges_->targets : none;
}

} // namespace toucan::steering
