#pragma once

#include "toucan/base/name.h"
#include "toucan/steering/client_block.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace toucan::steering {

/// Longest-prefix lookup of client blocks. Immutable; a few bytes for each block.
class client_block_table {
public:
    client_block_table() = default;
    /// @param blocks may nest; the longest prefix wins.
    explicit client_block_table(const std::vector<client_block>& blocks);

    /// @param ip client address in host byte order.
    /// @return the failure domain, or null if no block holds the address.
    [[nodiscard]] const failure_domain_name* find(std::uint32_t ip) const;
    /// Number of blocks given to the constructor.
    [[nodiscard]] std::size_t size() const { return blocks_; }
    [[nodiscard]] std::size_t memory_bytes() const;

private:
    struct range {
        std::uint32_t first;
        std::uint16_t target;
    };
    static constexpr std::uint16_t no_target = 0xffff;

    std::vector<range> ranges_;
    std::vector<failure_domain_name> targets_;
    std::size_t blocks_ = 0;
};

} // namespace toucan::steering
