#pragma once

#include "call.h"
#include "fleet.h"
#include "http_server.h"

#include "toucan/base/metrics.h"
#include "toucan/edge/settings.h"
#include "toucan/edge/wire_names.h"
#include "toucan/policy/demand_meter.h"
#include "toucan/policy/region_plan.h"
#include "toucan/policy/retry_allowance.h"
#include "toucan/policy/shift_limit.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace toucan::edge {

/// Requests by their outcome.
struct request_counters {
    explicit request_counters(metrics& all);

    metrics::counter& completed;
    metrics::counter& not_run;
    metrics::counter& unknown;
    metrics::counter& caller_left;
    metrics::counter& no_route;
    metrics::counter& resent;
};

/// Routes the requests of callers and decides when and where each is sent.
class dispatcher {
public:
    dispatcher(asio::io_context& loop, const clock& time, const settings& own,
               const wire_names& names, fleet& fleet, metrics& metrics);

    /// Handles a request of a caller.
    http_server::cancel handle(parsed_request request, http_server::respond respond);
    /// A version that is not newer than the present one is ignored.
    void set_config(std::shared_ptr<const routing_config> config);
    [[nodiscard]] const std::shared_ptr<const routing_config>& config() const { return config_; }
    void set_daemons(std::size_t daemons);
    /// What this daemon's callers ask of each service, with the service's stable hash.
    [[nodiscard]] std::vector<policy::service_demand> demands() const;
    /// Divides the requests among the regions anew.
    /// @param peers_demand what the callers of other daemons of a region ask of a service.
    void update_plans(const std::function<double(const region_name&, std::uint32_t)>& peers_demand);
    /// Loads or backend servers have changed: waiting calls may find room.
    void pump_all();
    [[nodiscard]] std::size_t waiting() const;
    /// Whether calls wait here, or the backend servers of the own region have little room left.
    [[nodiscard]] bool region_full() const;
    /// The process ends at a time: calls that would still be in progress then are refused.
    void stop_at(steady_time end) { end_ = end; }

private:
    friend class call;

    struct service_state {
        service_state(const settings& own, std::uint32_t hash);

        std::map<queue_key, std::shared_ptr<call>> waiting;
        /// Low half of the stable hash of the service's name.
        std::uint32_t id;
        policy::retry_allowance retries;
        policy::demand_meter demand;
        policy::region_plan plan;
        /// When the last responses arrived.
        std::deque<steady_time> responses;
    };

    service_state& state(const service_name& service);
    /// What was measured on a route so far.
    std::shared_ptr<route_state> state(const route& it);
    void create_states();
    void drop_old_routes();
    /// The service of the route that takes the next request.
    static service_name choose_service(const route& it, route_state& state);
    [[nodiscard]] fleet::server choose(const call& it);
    /// Sends the call, or lets it wait, or refuses it.
    void place(const std::shared_ptr<call>& it);
    [[nodiscard]] bool can_be_served(const call& it);
    /// Calls that go before a call in its service's queue.
    [[nodiscard]] static std::size_t waiting_ahead(const service_state& service,
                                                   const queue_key& key);
    /// Whether a call that is sent now ends before the process does.
    [[nodiscard]] bool can_be_finished(const call& it);
    void stop_waiting(call& it);
    /// A waiting call has reached the time at which it is late, or can no longer be answered.
    void reconsider_waiting(call& it);
    void pump(const service_name& service);
    void response_finished(const service_name& service);
    [[nodiscard]] std::vector<policy::region_load> region_loads(const service_name& service) const;
    [[nodiscard]] std::chrono::nanoseconds expected_wait(const service_name& service,
                                                         const queue_key& before);
    asio::io_context& loop_;
    const clock& time_;
    const settings& own_;
    const wire_names& names_;
    fleet& fleet_;
    metrics& metrics_;
    request_counters counters_;
    std::shared_ptr<const routing_config> config_;
    absl::flat_hash_map<service_name, std::unique_ptr<service_state>> services_;
    absl::flat_hash_map<std::string, std::shared_ptr<route_state>> routes_;
    policy::shift_limit shift_;
    std::uint64_t next_call_ = 1;
    std::size_t daemons_ = 1;
    steady_time end_ = steady_time::max();
};

} // namespace toucan::edge
