#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_id.h"

#include <cstdint>

namespace toucan::rpc {

/// Requests credit from a daemon of another failure domain: the right to use spare slots of the
/// backend servers whose home it is.
struct credit_request {
    vm_id requester;
    service_name service;
    failure_domain_name failure_domain;
    region_name region;
    std::uint32_t wanted_slots = 0;

    friend bool operator==(const credit_request&, const credit_request&) = default;
};

} // namespace toucan::rpc
