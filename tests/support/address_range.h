#pragma once

#include "toucan/base/vm_address.h"

#include <cstdint>

namespace toucan::test {

/// A range 127.a.b.0/24 that no other test program uses at the same time. Each VM of a test has an
/// IP address of its own. A lock file holds the range; the kernel drops the lock when the test
/// program ends in any way. Ports stay below the ephemeral range, so an outgoing connection never
/// occupies them.
class address_range {
public:
    address_range();
    address_range(const address_range&) = delete;
    address_range& operator=(const address_range&) = delete;
    ~address_range();

    /// The next unused IP address of the range, with this port.
    /// @param port port of the address.
    vm_address next(std::uint16_t port = default_port);

    static constexpr std::uint16_t default_port = 7000;

private:
    int lock_ = -1;
    std::uint32_t base_ = 0;
    std::uint32_t used_ = 0;
};

} // namespace toucan::test
