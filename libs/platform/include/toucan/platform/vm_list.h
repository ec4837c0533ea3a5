#pragma once

#include "toucan/platform/vm_entry.h"

#include <optional>
#include <vector>

namespace toucan::platform {

/// The platform's list of live and leaving VMs. It lags behind the truth.
class vm_list {
public:
    virtual ~vm_list() = default;
    /// @return the list, or nothing with a last reason.
    virtual std::optional<std::vector<vm_entry>> fetch() = 0;
};

} // namespace toucan::platform
