#pragma once

#include "toucan/base/name.h"
#include "toucan/steering/client_block.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace toucan::steering {

/// Longest-prefix lookup of client blocks. Immutable; copies share the ranges, so a configuration
/// that changes no block costs no second table.
class client_block_table {
public:
    client_block_table() = default;
    /// @param blocks may nest; the longest prefix wins.
    explicit client_block_table(const std::vector<client_block>& blocks);

    /// @param ip client address in host byte order.
    /// @return the failure domain, or null if no block holds the address.
    [[nodiscard]] const failure_domain_name* find(std::uint32_t ip) const;
    /// Number of blocks given to the constructor.
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t memory_bytes() const;
    /// Failure domains that at least one block is steered to.
    [[nodiscard]] const std::vector<failure_domain_name>& targets() const;

private:
    friend class client_block_table_builder;

    static constexpr std::uint16_t no_target = 0xffff;

    /// Sorted ranges without overlap; each ends where the next one begins. Two arrays, because one
    /// array of pairs would spend a quarter of its bytes on padding.
    struct ranges {
        std::vector<std::uint32_t> first;
        std::vector<std::uint16_t> target;
        std::vector<failure_domain_name> targets;
        std::size_t blocks = 0;
    };

    std::shared_ptr<const ranges> ranges_;
};

} // namespace toucan::steering
