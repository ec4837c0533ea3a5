#pragma once

#include "toucan/base/vm_id.h"

#include <string>

namespace toucan::rpc {

/// Notice of the owner of an operation key that it is about to dispatch the operation. Sent to the
/// witness of the key, which then knows that the operation may have run even if the owner becomes
/// unreachable.
struct intent_request {
    vm_id owner;
    vm_id witness;
    std::string operation_key;

    friend bool operator==(const intent_request&, const intent_request&) = default;
};

} // namespace toucan::rpc
