#pragma once

#include "toucan/base/name.h"
#include "toucan/steering/client_block.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace toucan::steering {

/// Longest-prefix lookup of client blocks. Immutable; copies share the ranges, so successive
/// configurations with the same blocks need the memory of one table.
class client_block_table {
public:
    client_block_table() = default;
    /// @param blocks in any order; blocks may nest, and the longest prefix takes precedence. Blocks
    /// of failure domains beyond the first 65,535 are left out.
    explicit client_block_table(const std::vector<client_block>& blocks);

    /// @param ip client address in host byte order.
    /// @return the failure domain, or null if no block contains the address.
    [[nodiscard]] const failure_domain_name* find(std::uint32_t ip) const;
    /// Number of client blocks from which the table was built.
    [[nodiscard]] std::size_t size() const;
    /// Heap memory allocated for the ranges, in bytes.
    [[nodiscard]] std::size_t memory_bytes() const;
    /// Failure domains to which at least one block is steered.
    [[nodiscard]] const std::vector<failure_domain_name>& targets() const;

private:
    friend class client_block_table_builder;

    /// Target index of a range that no block contains.
    static constexpr std::uint16_t no_target = 0xffff;

    /// Sorted, disjoint address ranges; each ends where the next one begins. Two arrays are used
    /// because a quarter of an array of pairs would be padding.
    struct ranges {
        /// First address of each range.
        std::vector<std::uint32_t> starts;
        /// Index into `targets` for each range, or `no_target`.
        std::vector<std::uint16_t> target_indexes;
        std::vector<failure_domain_name> targets;
        std::size_t block_count = 0;
    };

    std::shared_ptr<const ranges> ranges_;
};

} // namespace toucan::steering
