#pragma once

#include "toucan/steering/client_block.h"
#include "toucan/steering/client_block_table.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace toucan::steering {

/// Builds the ranges of a table while blocks arrive in order, so that a daemon that builds a new
/// version never holds all blocks a second time.
class client_block_table_builder {
public:
    /// @param blocks greatest number of blocks that will be added.
    void reserve(std::size_t blocks);
    /// @param block not before the one added last, by address and prefix length; may nest.
    /// @return false, with a last reason, if it is out of order or there are too many failure
    /// domains.
    bool add(const client_block& block);
    /// Leaves the builder empty.
    [[nodiscard]] client_block_table build();

private:
    /// A block that contains the present position.
    struct open_block {
        std::uint64_t end;
        std::uint16_t target;
    };

    void start_range(std::uint64_t at, std::uint16_t target);
    void close_until(std::uint64_t at);

    client_block_table::ranges out_;
    /// Outermost first.
    std::vector<open_block> open_;
    std::uint32_t last_ip_ = 0;
    std::uint8_t last_prefix_length_ = 0;
    absl::flat_hash_map<failure_domain_name, std::uint16_t> index_;
};

} // namespace toucan::steering
