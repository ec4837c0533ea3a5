#pragma once

#include "toucan/base/vm_id.h"

#include <string>

namespace toucan::rpc {

/// Sent by the owner of an operation key to the witness before the owner dispatches the operation.
struct intent_request {
    vm_id owner;
    vm_id witness;
    std::string operation_key;

    friend bool operator==(const intent_request&, const intent_request&) = default;
};

} // namespace toucan::rpc
