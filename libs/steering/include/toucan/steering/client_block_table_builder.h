#pragma once

#include "toucan/steering/client_block.h"
#include "toucan/steering/client_block_table.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace toucan::steering {

/// Builds a table incrementally from blocks in ascending order. A daemon that builds a new version
/// therefore never needs a second copy of all blocks.
class client_block_table_builder {
public:
    /// Reserves memory for the ranges.
    /// @param max_blocks upper bound on the number of blocks to be added.
    void reserve(std::size_t max_blocks);
    /// Adds a block, which may nest in blocks added earlier.
    /// @param block must not precede the previous block in the order of address and prefix length.
    /// @return false, with a last reason, if the block is out of order or there are more than
    /// 65,535 failure domains.
    bool add(const client_block& block);
    /// Returns the table and leaves the builder empty.
    [[nodiscard]] client_block_table build();

private:
    /// A block that contains the current address.
    struct enclosing_block {
        /// First address after the block.
        std::uint64_t end;
        std::uint16_t target;
    };

    /// Starts a range at an address, unless the previous range has the same target.
    void begin_range(std::uint64_t at, std::uint16_t target);
    /// Closes all enclosing blocks that end at or before an address.
    void close_blocks_ending_by(std::uint64_t at);

    client_block_table::ranges ranges_;
    /// Nested blocks that contain the current address, outermost first.
    std::vector<enclosing_block> enclosing_;
    std::uint32_t last_ip_ = 0;
    std::uint8_t last_prefix_length_ = 0;
    absl::flat_hash_map<failure_domain_name, std::uint16_t> target_index_;
};

} // namespace toucan::steering
