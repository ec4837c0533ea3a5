#include "toucan/steering/client_block_table_builder.h"

#include "toucan/base/last_reason.h"
#include "toucan/steering/cidr.h"

#include <fmt/format.h>

#include <tuple>
#include <utility>

namespace toucan::steering {

namespace {

constexpr std::uint64_t address_end = std::uint64_t{1} << 32U;

} // namespace

void client_block_table_builder::reserve(std::size_t blocks)
{
    // Each block adds at most its own range and one for what follows it. Pages that are reserved
    // and not written cost nothing.
    out_.first.reserve(2 * blocks);
    out_.target.reserve(2 * blocks);
}

bool client_block_table_builder::add(const client_block& block)
{
    if (std::tie(block.ip, block.prefix_length) < std::tie(last_ip_, last_prefix_length_)) {
        fail(fmt::format("the client block {} is out of order", format_cidr(block)));
        return false;
    }
    auto it = index_.find(block.failure_domain);
    if (it == index_.end()) {
        if (out_.targets.size() >= client_block_table::no_target) {
            fail("client blocks name more than 65,535 failure domains");
            return false;
        }
        const auto next = static_cast<std::uint16_t>(out_.targets.size());
        it = index_.emplace(block.failure_domain, next).first;
        out_.targets.push_back(block.failure_domain);
    }
    last_ip_ = block.ip;
    last_prefix_length_ = block.prefix_length;
    ++out_.blocks;
    close_until(block.ip);
    start_range(block.ip, it->second);
    open_.push_back({block.ip + (address_end >> block.prefix_length), it->second});
    return true;
}

void client_block_table_builder::start_range(std::uint64_t at, std::uint16_t target)
{
    if (at >= address_end) {
        return;
    }
    if (!out_.first.empty() && out_.first.back() == at) {
        out_.first.pop_back();
        out_.target.pop_back();
    }
    if (out_.target.empty() ? target != client_block_table::no_target
                            : out_.target.back() != target) {
        out_.first.push_back(static_cast<std::uint32_t>(at));
        out_.target.push_back(target);
    }
}

void client_block_table_builder::close_until(std::uint64_t at)
{
    while (!open_.empty() && open_.back().end <= at) {
        const auto end = open_.back().end;
        open_.pop_back();
        start_range(end, open_.empty() ? client_block_table::no_target : open_.back().target);
    }
}

client_block_table client_block_table_builder::build()
{
    close_until(address_end);
    // Shrinking copies the ranges; pages that were reserved and not written cost nothing.
    if (out_.first.size() < out_.first.capacity() / 2) {
        out_.first.shrink_to_fit();
        out_.target.shrink_to_fit();
    }
    client_block_table table;
    table.ranges_ = std::make_shared<const client_block_table::ranges>(std::exchange(out_, {}));
    index_.clear();
    last_ip_ = 0;
    last_prefix_length_ = 0;
    return table;
}

} // namespace toucan::steering
