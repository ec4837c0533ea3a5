#pragma once

#include "toucan/platform/vm_entry.h"

#include <optional>
#include <vector>

namespace toucan::platform {

/// Interface of the platform's list of live and leaving VMs. The list lags behind the actual state.
class vm_list {
public:
    virtual ~vm_list() = default;
    /// Reads the complete list.
    /// @return empty, with a last reason, if the platform did not return a valid list.
    virtual std::optional<std::vector<vm_entry>> fetch() = 0;
};

} // namespace toucan::platform
