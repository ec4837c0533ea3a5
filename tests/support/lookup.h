#pragma once

#include "toucan/base/vm_address.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace toucan::test {

/// Response of `/v1/lookup`.
struct lookup_response {
    std::vector<vm_address> entry_vms;
    std::chrono::milliseconds lifetime{0};
    std::uint64_t version = 0;
    std::string key_prefix;
};

/// Sends a lookup to an entry VM.
/// @param entry_vm HTTP address of the entry VM.
/// @param service service to look up.
/// @param block client block, `a.b.c.0/24`.
/// @return empty without a valid response.
std::optional<lookup_response> send_lookup(const vm_address& entry_vm, const std::string& service,
                                           const std::string& block);

} // namespace toucan::test
