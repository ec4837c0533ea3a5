#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_id.h"

#include <cstdint>

namespace toucan::rpc {

/// Request to a home daemon of another failure domain for credit on its spare slots.
struct credit_request {
    vm_id requester;
    service_name service;
    failure_domain_name failure_domain;
    region_name region;
    std::uint32_t wanted_slots = 0;

    friend bool operator==(const credit_request&, const credit_request&) = default;
};

} // namespace toucan::rpc
