#pragma once

#include "toucan/steering/client_block.h"
#include "toucan/steering/client_block_table.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace toucan::steering {

/// Collects blocks piece by piece in 8 bytes each, so that a daemon never holds all of them with
/// their names.
class client_block_table_builder {
public:
    /// @param blocks number of blocks that will be added.
    void reserve(std::size_t blocks);
    /// @param block may nest with others; of two equal blocks either one wins.
    /// @return false, with a last reason, if there are too many failure domains.
    bool add(const client_block& block);
    /// Leaves the builder empty.
    [[nodiscard]] client_block_table build();

private:
    struct entry {
        std::uint32_t ip;
        std::uint8_t prefix_length;
        std::uint16_t target;
    };

    std::vector<entry> entries_;
    std::vector<failure_domain_name> targets_;
    absl::flat_hash_map<failure_domain_name, std::uint16_t> index_;
};

} // namespace toucan::steering
