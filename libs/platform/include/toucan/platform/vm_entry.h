#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_address.h"

#include <string>

namespace toucan::platform {

/// Role of a VM in the platform's VM list.
enum class vm_role { entry, backend };

/// One VM of the platform's VM list.
struct vm_entry {
    vm_role role = vm_role::entry;
    /// RPC address of an entry VM, HTTP address of a backend server.
    vm_address address;
    failure_domain_name failure_domain;
    bool leaving = false;

    friend bool operator==(const vm_entry&, const vm_entry&) = default;
};

} // namespace toucan::platform
