#pragma once

#include "toucan/base/vm_id.h"

#include <cstdint>

namespace toucan::rpc {

/// A ready entry VM, as listed in domain summaries and lookup responses.
struct entry_vm {
    vm_id id;
    std::uint16_t http_port = 0;

    friend auto operator<=>(const entry_vm&, const entry_vm&) = default;
};

} // namespace toucan::rpc
