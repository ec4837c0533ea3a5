#include "toucan/steering/client_block_table_builder.h"

#include "toucan/base/last_reason.h"
#include "toucan/steering/cidr.h"

#include <fmt/format.h>

#include <tuple>
#include <utility>

namespace toucan::steering {

namespace {

/// First value above the IPv4 address range.
constexpr std::uint64_t address_end = std::uint64_t{1} << 32U;

} // namespace

void client_block_table_builder::reserve(std::size_t max_blocks)
{
    // Each block adds at most two ranges: its own and the one after its end. Reserved pages that
    // are never written use no physical memory.
    ranges_.starts.reserve(2 * max_blocks);
    ranges_.target_indexes.reserve(2 * max_blocks);
}

bool client_block_table_builder::add(const client_block& block)
{
    if (std::tie(block.ip, block.prefix_length) < std::tie(last_ip_, last_prefix_length_)) {
        fail(fmt::format("client block {} is not in ascending order of address and prefix length",
                         format_cidr(block)));
        return false;
    }
    auto it = target_index_.find(block.failure_domain);
    if (it == target_index_.end()) {
        if (ranges_.targets.size() >= client_block_table::no_target) {
            fail("client blocks refer to more than 65,535 failure domains");
            return false;
        }
        const auto next = static_cast<std::uint16_t>(ranges_.targets.size());
        it = target_index_.emplace(block.failure_domain, next).first;
        ranges_.targets.push_back(block.failure_domain);
    }
    last_ip_ = block.ip;
    last_prefix_length_ = block.prefix_length;
    ++ranges_.block_count;
    close_blocks_ending_by(block.ip);
    begin_range(block.ip, it->second);
    enclosing_.push_back({block.ip + (address_end >> block.prefix_length), it->second});
    return true;
}

void client_block_table_builder::begin_range(std::uint64_t at, std::uint16_t target)
{
    if (at >= address_end) {
        return;
    }
    if (!ranges_.starts.empty() && ranges_.starts.back() == at) {
        ranges_.starts.pop_back();
        ranges_.target_indexes.pop_back();
    }
    if (ranges_.target_indexes.empty() ? target != client_block_table::no_target
                                       : ranges_.target_indexes.back() != target) {
        ranges_.starts.push_back(static_cast<std::uint32_t>(at));
        ranges_.target_indexes.push_back(target);
    }
}

void client_block_table_builder::close_blocks_ending_by(std::uint64_t at)
{
    while (!enclosing_.empty() && enclosing_.back().end <= at) {
        const auto end = enclosing_.back().end;
        enclosing_.pop_back();
        begin_range(end,
                    enclosing_.empty() ? client_block_table::no_target : enclosing_.back().target);
    }
}

client_block_table client_block_table_builder::build()
{
    close_blocks_ending_by(address_end);
    // Shrinking copies the ranges, so it is done only when less than half of the capacity is used.
    // Reserved pages that were never written use no physical memory.
    if (ranges_.starts.size() < ranges_.starts.capacity() / 2) {
        ranges_.starts.shrink_to_fit();
        ranges_.target_indexes.shrink_to_fit();
    }
    client_block_table table;
    table.ranges_ = std::make_shared<const client_block_table::ranges>(std::exchange(ranges_, {}));
    target_index_.clear();
    last_ip_ = 0;
    last_prefix_length_ = 0;
    return table;
}

} // namespace toucan::steering
