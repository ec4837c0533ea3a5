#pragma once

#include "toucan/base/name.h"

#include <cstdint>

namespace toucan::policy {

/// Credit to attach to one request.
struct held_credit {
    std::uint64_t id = 0;
    failure_domain_name failure_domain;
    backend_server_name backend;

    friend bool operator==(const held_credit&, const held_credit&) = default;
};

} // namespace toucan::policy
