#pragma once

#include "toucan/base/clock.h"
#include "toucan/base/name.h"
#include "toucan/policy/held_credit.h"
#include "toucan/policy/refusal.h"
#include "toucan/steering/service.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace toucan::policy {

/// Preferred backend server in this failure domain.
struct local_candidate {
    backend_server_name backend;
    /// Expected time until the server has a free slot.
    std::chrono::nanoseconds expected_wait{0};
};

/// Another failure domain that may serve the request.
struct remote_candidate {
    failure_domain_name failure_domain;
    region_name region;
    std::chrono::nanoseconds round_trip{0};
    /// From `credit_wallet::best`; the candidate is excluded if there is no credit.
    std::optional<held_credit> credit;
    /// From `credit_wallet::available`; at equal round trips the candidate with more is preferred.
    std::uint32_t credit_slots = 0;
    /// From `shift_ramp::remaining` for the region.
    std::uint64_t remaining_shift = 0;
    /// From `link_budget::allows` for the region.
    bool link_allows = true;
};

/// All input of a routing decision.
struct route_input {
    steering::objective goal = steering::objective::latency;
    steering::request_class priority = steering::request_class::urgent;
    /// Region to which the client block is steered; empty if unknown, and no request is then a
    /// shift.
    region_name client_region;
    /// Region of the entry VM that makes the decision.
    region_name entry_region;
    std::optional<local_candidate> local;
    /// Remaining allowance for shifts into the entry region; used if the client region is another
    /// one.
    std::uint64_t local_remaining_shift = 0;
    std::vector<remote_candidate> remotes;
    /// Time until the deadline.
    std::chrono::nanoseconds time_left{0};
    /// Expected service time.
    std::chrono::nanoseconds service_time{0};
    /// Time until the shift allowance is renewed.
    std::chrono::nanoseconds shift_renewal{0};
    /// Random bits, used as jitter for retries.
    std::uint64_t draw = 0;
};

/// Serve in this failure domain.
struct serve_local {
    backend_server_name backend;
    /// The request counts against the shift cap of the entry region.
    bool shifted = false;

    friend bool operator==(const serve_local&, const serve_local&) = default;
};

/// Serve in another failure domain.
struct serve_remote {
    region_name region;
    /// Identifies the failure domain and the backend server; to be taken from the wallet.
    held_credit credit;
    /// The request counts against the shift cap of the region.
    bool shifted = false;
    /// The request counts against the link budget to the region.
    bool crosses_link = false;

    friend bool operator==(const serve_remote&, const serve_remote&) = default;
};

using route_decision = std::variant<serve_local, serve_remote, refuse>;

/// Decides where to serve a request. The result depends only on the input.
[[nodiscard]] route_decision decide_route(const route_input& input);

} // namespace toucan::policy
