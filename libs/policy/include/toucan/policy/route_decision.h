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

/// The best backend server of the own failure domain.
struct local_candidate {
    backend_server_name backend;
    /// Time until it would have a free slot.
    std::chrono::nanoseconds expected_wait{0};
};

/// Another failure domain that may take the request.
struct remote_candidate {
    failure_domain_name failure_domain;
    region_name region;
    std::chrono::nanoseconds round_trip{0};
    /// What `credit_wallet::best` says; without credit the candidate is ruled out.
    std::optional<held_credit> credit;
    /// What `credit_wallet::available` says; more is preferred at the same distance.
    std::uint32_t credit_slots = 0;
    /// What `shift_ramp::left` says for the region.
    std::uint64_t shift_left = 0;
    /// What `link_budget::allows` says for the region.
    bool link_allows = true;
};

/// All that a decision depends on.
struct route_input {
    steering::objective goal = steering::objective::latency;
    steering::request_class priority = steering::request_class::urgent;
    /// Region that the client block is steered to; empty if not known, then never a shift.
    region_name client_region;
    /// Region of the entry VM that decides.
    region_name entry_region;
    std::optional<local_candidate> local;
    /// What is left for shifting into the own region; used if the client's region is another one.
    std::uint64_t local_shift_left = 0;
    std::vector<remote_candidate> remotes;
    std::chrono::nanoseconds time_left{0};
    std::chrono::nanoseconds service_time{0};
    std::chrono::nanoseconds shift_renewal{0};
    /// Random bits; choose among equal candidates and spread retries.
    std::uint64_t draw = 0;
};

struct serve_local {
    backend_server_name backend;
    /// The request counts against the shift cap of the own region.
    bool shifted = false;

    friend bool operator==(const serve_local&, const serve_local&) = default;
};

struct serve_remote {
    region_name region;
    /// Names the failure domain and the backend server. To be taken from the wallet.
    held_credit credit;
    /// The request counts against the shift cap of the region.
    bool shifted = false;
    /// The request counts against the link budget to the region.
    bool crosses_link = false;

    friend bool operator==(const serve_remote&, const serve_remote&) = default;
};

using route_decision = std::variant<serve_local, serve_remote, refuse>;

/// Where a request goes. Depends on the input only.
[[nodiscard]] route_decision decide_route(const route_input& input);

} // namespace toucan::policy
