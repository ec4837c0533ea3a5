#pragma once

#include "toucan/base/clock.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace toucan::policy {

/// Properties of a request that determine its place in a `fair_queue`.
struct queued_request {
    /// The request is not expected to be answered within its objective.
    bool late = false;
    /// Priority of the workspace; 0 is the most urgent, also without a workspace.
    int workspace_priority = 0;
    /// Priority of the route; 0 is the most urgent.
    int route_priority = 0;
    /// Workspace of the request; 0 for all requests without a workspace.
    std::uint64_t flow = 0;
    /// Expected service time.
    std::chrono::nanoseconds cost{0};
    /// End of the objective, or the deadline if the request is late.
    steady_time due;
    /// Arrival number; unique in the queue, breaks ties.
    std::uint64_t number = 0;

    friend bool operator==(const queued_request&, const queued_request&) = default;
};

/// Place of late requests in a `fair_queue`.
enum class late_order {
    /// Late requests follow all other requests. A route whose objective is shorter than its service
    /// time starves beside a less urgent route.
    after_all,
    /// Late requests follow the other requests of their workspace priority and route priority.
    within_class,
};

/// Queued requests that precede another one.
struct queue_backlog {
    std::size_t requests = 0;
    /// Sum of their expected service times.
    std::chrono::nanoseconds work{0};

    friend bool operator==(const queue_backlog&, const queue_backlog&) = default;
};

/// Waiting requests of one service. Orders them by workspace priority, route priority and lateness,
/// then by start-time fair queueing across flows, then by due time and arrival number. Within one
/// flow, the order is thus priority, due time, arrival number. Not thread-safe.
///
/// A flow without queued requests is forgotten when its virtual time is not ahead of the others.
class fair_queue {
public:
    explicit fair_queue(late_order order = late_order::within_class) : order_(order) {}

    /// Adds a request; its number must not be queued.
    void add(const queued_request& it);
    /// Removes a request that is dispatched and charges its cost to its flow.
    /// @return false if the request is not queued.
    bool take(std::uint64_t number) { return erase(number, true); }
    /// Removes a request that is not dispatched.
    /// @return false if the request is not queued.
    bool remove(std::uint64_t number) { return erase(number, false); }

    [[nodiscard]] bool empty() const { return requests_.empty(); }
    [[nodiscard]] std::size_t size() const { return requests_.size(); }
    /// Numbers of the first requests in the order in which they are to be dispatched.
    [[nodiscard]] std::vector<std::uint64_t> first(std::size_t count) const;
    /// Requests that precede a request, which need not be queued. Exact within the request's own
    /// flow, estimated from the mean cost for the other flows.
    [[nodiscard]] queue_backlog ahead_of(const queued_request& it) const;
    /// Number of flows whose state is kept, counted once for each priority and lateness.
    [[nodiscard]] std::size_t flows() const;

private:
    struct position {
        steady_time due;
        std::uint64_t number = 0;

        friend auto operator<=>(const position&, const position&) = default;
    };
    /// Queued requests of one flow in one band.
    struct flow {
        std::map<position, std::chrono::nanoseconds> costs;
        std::chrono::nanoseconds work{0};
        /// Virtual start time of the first request; without requests, that of the next request.
        std::chrono::nanoseconds start{0};
    };
    /// Requests of equal priority and lateness.
    struct band {
        std::map<std::uint64_t, flow> flows;
        queue_backlog queued;
        /// Lowest virtual start time of the flows with requests.
        std::chrono::nanoseconds virtual_time{0};
    };
    using band_key = std::array<int, 3>;

    [[nodiscard]] band_key key_of(const queued_request& it) const;
    [[nodiscard]] static queue_backlog ahead_in_flow(const flow& it, const position& before);
    [[nodiscard]] static queue_backlog ahead_in_other_flow(const flow& it,
                                                           std::chrono::nanoseconds start);
    static void append_first(const band& it, std::size_t count, std::vector<std::uint64_t>& to);
    static void advance(band& it);
    bool erase(std::uint64_t number, bool charge);

    late_order order_;
    std::map<band_key, band> bands_;
    absl::flat_hash_map<std::uint64_t, queued_request> requests_;
};

} // namespace toucan::policy
