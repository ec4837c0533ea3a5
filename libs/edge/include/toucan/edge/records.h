#pragma once

#include "toucan/base/name.h"
#include "toucan/base/vm_address.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace toucan::edge {

/// Row of a backend server in the shared store.
struct backend_record {
    backend_server_name name;
    service_name service;
    vm_address address;
    failure_domain_name failure_domain;
    /// Requests that the server handles at the same time.
    std::uint32_t slots = 1;
    /// The server is draining: it accepts no new requests and is about to stop.
    bool leaving = false;
    /// Remaining time for which the server is cold and takes requests at a reduced rate only.
    std::chrono::milliseconds cold_remaining{0};
    /// Start of this run in milliseconds; differs between runs of the same name. 0 if unknown.
    std::int64_t started_ms = 0;
    /// Number of the record; increases with each record of a run. 0 if unknown.
    std::uint64_t number = 0;

    friend bool operator==(const backend_record&, const backend_record&) = default;
};

/// State that a daemon publishes in its row.
enum class member_state : std::uint8_t { ready, leaving };

/// Row of a daemon in the shared store.
struct member_record {
    std::string name;
    /// Address to which callers connect.
    vm_address callers;
    /// Address for datagrams (UDP) and table relay calls (TCP) of other daemons.
    vm_address peers;
    failure_domain_name failure_domain;
    region_name region;
    /// CPU capacity of its VM, in cores; may be a fraction of one core.
    double capacity = 0;
    /// Start of this run, Unix milliseconds.
    std::int64_t run = 0;
    member_state state = member_state::ready;

    friend bool operator==(const member_record&, const member_record&) = default;
};

} // namespace toucan::edge
