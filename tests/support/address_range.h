#pragma once

#include "toucan/base/vm_address.h"

#include <cstdint>

namespace toucan::test {

/// Allocates the addresses of a range 127.a.b.0/24 that no other test program uses at the same
/// time, one IP address per VM of a test. A lock on a file reserves the range; the kernel releases
/// the lock when the test program exits or crashes. Listening ports are below the ephemeral port
/// range, so an outgoing connection cannot take them.
class address_range {
public:
    /// Reserves the first free range. Throws `std::runtime_error` if none is free.
    address_range();
    address_range(const address_range&) = delete;
    address_range& operator=(const address_range&) = delete;
    ~address_range();

    /// Allocates the next IP address of the range. Throws `std::runtime_error` if all are
    /// allocated.
    /// @param port port of the returned address.
    vm_address next(std::uint16_t port = default_port);

    static constexpr std::uint16_t default_port = 7000;

private:
    int lock_fd_ = -1;
    std::uint32_t base_ip_ = 0;
    std::uint32_t allocated_count_ = 0;
};

} // namespace toucan::test
