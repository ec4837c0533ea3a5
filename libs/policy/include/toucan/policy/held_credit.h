#pragma once

#include "toucan/base/name.h"

#include <cstdint>

namespace toucan::policy {

/// Reference to credit that one request uses.
struct held_credit {
    std::uint64_t id = 0;
    failure_domain_name failure_domain;
    backend_server_name backend;

    friend bool operator==(const held_credit&, const held_credit&) = default;
};

} // namespace toucan::policy
