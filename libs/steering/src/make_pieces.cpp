#include "toucan/steering/piece.h"

#include "toucan/base/config.h"
#include "toucan/steering/cidr.h"

#include <fmt/format.h>

#include <algorithm>

namespace toucan::steering {

namespace {

using block_iterator = std::vector<client_block>::const_iterator;

/// Appends a piece for the blocks, or splits their address range in half and recurses. The
/// recursion ends at /32 at the latest, where at most 33 blocks (one per prefix length) remain.
void split_blocks(block_iterator begin, block_iterator end, const client_block& range,
                  std::vector<piece>& out)
{
    constexpr std::uint8_t max_prefix_length = 32;
    const auto n = static_cast<std::size_t>(end - begin);
    if (n == 0) {
        return;
    }
    if (n <= config::client_blocks_per_piece || range.prefix_length == max_prefix_length) {
        out.push_back({fmt::format("{}{}", blocks_piece_prefix, format_cidr(range)),
                       encode(std::vector<client_block>(begin, end))});
        return;
    }
    auto lower = range;
    ++lower.prefix_length;
    auto upper = lower;
    upper.ip |= std::uint32_t{1} << (max_prefix_length - upper.prefix_length);
    const auto middle =
        std::partition_point(begin, end, [&](const client_block& it) { return it.ip < upper.ip; });
    split_blocks(begin, middle, lower, out);
    split_blocks(middle, end, upper, out);
}

} // namespace

std::vector<piece> make_pieces(const steering_source& source)
{
    std::vector<piece> out;
    out.push_back({std::string(topology_piece), encode(source.topology)});
    for (const auto& it : source.services) {
        out.push_back({fmt::format("{}{}", service_piece_prefix, it.name.text()), encode(it)});
    }
    auto blocks = source.blocks;
    std::sort(blocks.begin(), blocks.end());
    split_blocks(blocks.begin(), blocks.end(), {}, out);
    std::sort(out.begin(), out.end(),
              [](const piece& lhs, const piece& rhs) { return lhs.name < rhs.name; });
    return out;
}

} // namespace toucan::steering
