#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_address.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace toucan::edge {

/// What a backend server says of itself.
struct backend_record {
    backend_server_name name;
    service_name service;
    vm_address address;
    failure_domain_name failure_domain;
    std::uint32_t slots = 1;
    /// It takes no new requests and will end soon.
    bool leaving = false;
    /// How much longer it stays cold.
    std::chrono::milliseconds cold_for{0};
    /// Start of this run; a later run of the same name has another value. 0 if unknown.
    std::int64_t started_ms = 0;

    friend bool operator==(const backend_record&, const backend_record&) = default;
};

enum class member_state : std::uint8_t { ready, leaving };

/// What a daemon says of itself.
struct member_record {
    std::string name;
    /// Where callers connect.
    vm_address callers;
    /// Where it receives datagrams of other daemons.
    vm_address peers;
    failure_domain_name failure_domain;
    region_name region;
    /// Processor share of its VM, in cores.
    double capacity = 0;
    /// Start of this run, Unix milliseconds.
    std::int64_t run = 0;
    member_state state = member_state::ready;

    friend bool operator==(const member_record&, const member_record&) = default;
};

} // namespace toucan::edge
