#include "toucan/steering/client_block_table_builder.h"

#include "toucan/base/last_reason.h"
#include "toucan/steering/cidr.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace toucan::steering {

void client_block_table_builder::reserve(std::size_t blocks)
{
    entries_.reserve(blocks);
}

bool client_block_table_builder::add(const client_block& block)
{
    auto it = index_.find(block.failure_domain);
    if (it == index_.end()) {
        if (targets_.size() >= client_block_table::no_target) {
            fail("client blocks name more than 65,535 failure domains");
            return false;
        }
        it =
            index_.emplace(block.failure_domain, static_cast<std::uint16_t>(targets_.size())).first;
        targets_.push_back(block.failure_domain);
    }
    entries_.push_back(
        {block.ip & prefix_mask(block.prefix_length), block.prefix_length, it->second});
    return true;
}

client_block_table client_block_table_builder::build()
{
    std::sort(entries_.begin(), entries_.end(), [](const entry& lhs, const entry& rhs) {
        return std::tie(lhs.ip, lhs.prefix_length) < std::tie(rhs.ip, rhs.prefix_length);
    });

    constexpr std::uint64_t address_end = std::uint64_t{1} << 32U;
    auto built = std::make_shared<client_block_table::ranges>();
    auto& out = *built;
    out.blocks = entries_.size();
    // Each block adds at most its own range and one for what follows it. Pages that are reserved
    // and not written cost nothing.
    out.first.reserve(2 * entries_.size());
    out.target.reserve(2 * entries_.size());

    struct open_block {
        std::uint64_t end;
        std::uint16_t target;
    };
    // Blocks that contain the present position, outermost first.
    std::vector<open_block> open;
    const auto start_range = [&](std::uint64_t at, std::uint16_t target) {
        if (at >= address_end) {
            return;
        }
        if (!out.first.empty() && out.first.back() == at) {
            out.first.pop_back();
            out.target.pop_back();
        }
        if (out.target.empty() ? target != client_block_table::no_target
                               : out.target.back() != target) {
            out.first.push_back(static_cast<std::uint32_t>(at));
            out.target.push_back(target);
        }
    };
    const auto close_until = [&](std::uint64_t at) {
        while (!open.empty() && open.back().end <= at) {
            const auto end = open.back().end;
            open.pop_back();
            start_range(end, open.empty() ? client_block_table::no_target : open.back().target);
        }
    };
    for (const auto& it : entries_) {
        close_until(it.ip);
        start_range(it.ip, it.target);
        open.push_back({it.ip + (address_end >> it.prefix_length), it.target});
    }
    close_until(address_end);

    entries_ = {};
    index_.clear();
    out.first.shrink_to_fit();
    out.target.shrink_to_fit();
    out.targets = std::exchange(targets_, {});
    client_block_table table;
    table.ranges_ = std::move(built);
    return table;
}

} // namespace toucan::steering
