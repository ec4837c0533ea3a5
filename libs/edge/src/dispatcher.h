#pragma once

#include "access_check.h"
#include "call.h"
#include "fleet.h"
#include "http_server.h"
#include "load_monitor.h"
#include "region_traffic.h"
#include "workspace_limits.h"

#include "toucan/base/metrics.h"
#include "toucan/edge/settings.h"
#include "toucan/edge/wire_names.h"
#include "toucan/policy/backend_choice.h"
#include "toucan/policy/demand_meter.h"
#include "toucan/policy/fair_queue.h"
#include "toucan/policy/latency_model.h"
#include "toucan/policy/region_plan.h"
#include "toucan/policy/retry_allowance.h"
#include "toucan/policy/retry_spread.h"
#include "toucan/policy/shift_limit.h"
#include "toucan/policy/slot_throughput.h"
#include "toucan/policy/stop_schedule.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucan::edge {

/// Request counters by outcome.
struct request_counters {
    explicit request_counters(metrics& all);

    metrics::counter& completed;
    metrics::counter& not_run;
    metrics::counter& unknown;
    metrics::counter& caller_left;
    metrics::counter& no_route;
    /// Requests without a known key, and those with an entry that cannot be read or confirmed.
    metrics::counter& denied;
    metrics::counter& over_quota;
    metrics::counter& resent;
};

/// Routes callers' requests, queues them per service and chooses the time and the backend server of
/// each dispatch. Not thread-safe; runs on the event loop.
///
/// The references passed to the constructor must outlive the dispatcher.
class dispatcher {
public:
    dispatcher(asio::io_context& loop, const clock& time, const settings& daemon_settings,
               const wire_names& names, fleet& fleet, metrics& metrics);

    /// Returns the age of the copy of the operator's table; nothing if it was never confirmed.
    using config_age_source = std::function<std::optional<milliseconds>()>;
    /// Sets the source of the age that `bounds::strict_revocation` limits.
    void set_config_age_source(config_age_source it) { config_age_ = std::move(it); }
    /// Starts a call for the request, or answers it at once: 503 without a configuration, 404
    /// without a route, 401 without a known key.
    /// @return callback for the disconnect of the caller; empty if the request is already answered.
    http_server::cancel handle(parsed_request request, http_server::respond respond);
    /// Refuses a request that arrives after a response has announced the end of its connection.
    http_response refuse_while_stopping(const parsed_request& request);
    /// Checks a request whose body has not been received yet.
    /// @return the response if the request is not served whatever its body.
    [[nodiscard]] std::optional<http_response> check_head(const parsed_request& head);
    /// Quotas and counters of the workspaces.
    [[nodiscard]] workspace_limits& workspaces() { return workspaces_; }
    /// Whether the route of a request is idempotent.
    [[nodiscard]] bool is_idempotent(const parsed_request& request) const;
    /// Applies a configuration. Ignores versions that are not newer than the current one.
    void set_config(std::shared_ptr<const routing_config> config);
    [[nodiscard]] const std::shared_ptr<const routing_config>& config() const { return config_; }
    /// Recomputes this daemon's share of the retry allowances.
    /// @param daemons number of daemons that share them, at least 1.
    void set_daemons(std::size_t daemons);
    /// Demand per service from this daemon's callers, in slots.
    [[nodiscard]] std::vector<policy::service_demand> demands() const;
    /// Recomputes the shares of requests per region for each service.
    /// @param peers_demand returns the demand of the other daemons' callers in a region for a
    /// service, in slots.
    void update_plans(const std::function<double(const region_name&, std::uint32_t)>& peers_demand);
    /// Schedules a dispatch pass for each service with queued calls, after loads or backend servers
    /// have changed.
    void schedule_dispatch();
    /// Number of queued calls of all services.
    [[nodiscard]] std::size_t waiting() const;
    /// Whether, for any service, calls are queued or the utilization of the available backend
    /// servers in this daemon's region exceeded `tunables::overloaded_region_utilization` at the
    /// last `update_plans`.
    [[nodiscard]] bool region_overloaded() const;
    /// Begins the stop: refuses calls that may not complete before its end, waiting ones included,
    /// and answers those that are then still in progress.
    void set_stop_schedule(const policy::stop_schedule& it);

private:
    friend class call;

    /// Queue, limits and measurements of one service.
    struct service_state {
        service_state(asio::io_context& loop, const settings& daemon_settings, std::uint32_t hash);

        policy::fair_queue waiting;
        /// Queued calls by number.
        absl::flat_hash_map<std::uint64_t, std::shared_ptr<call>> waiting_calls;
        /// Set while `refuse_displaced` is scheduled.
        bool review_scheduled = false;
        asio::steady_timer review_timer;
        policy::retry_spread retry_times;
        /// Low half of the stable hash of the service's name.
        std::uint32_t id;
        policy::retry_allowance retries;
        policy::demand_meter demand;
        policy::region_plan plan;
        /// Time for which a request occupies a slot.
        policy::latency_model service_time{std::chrono::nanoseconds(0)};
        policy::slot_throughput throughput;
    };

    /// State of a service; created on first use.
    service_state& state(const service_name& service);
    [[nodiscard]] access check(const parsed_request& request) const;
    [[nodiscard]] http_response refuse_without_config(const parsed_request& request) const;
    /// Counts and logs a denied request.
    [[nodiscard]] http_response deny(const parsed_request& request, access_denial denial);
    /// Makes the response to a request over the quota of its workspace.
    [[nodiscard]] http_response refuse_over_quota(const parsed_request& request,
                                                  const workspace& caller, milliseconds wait);
    /// Whether the key of a call still belongs to its workspace in the configuration in force. A
    /// call that was admitted without a workspace only needs the regions of its key to be known.
    [[nodiscard]] access_denial check_key(const call& it) const;
    /// Ends the queued calls whose keys the configuration in force does not have, and applies its
    /// regions to the others.
    void apply_config_to_open_calls();
    /// Statistics of a route; created on first use.
    std::shared_ptr<route_state> state(const route& it);
    void create_service_states();
    void remove_stale_routes();
    /// Service of the route's traffic split that receives the next request.
    static service_name choose_service(const route& it, route_state& state);
    /// @return nullptr if no backend server may take the call now.
    [[nodiscard]] fleet::server choose_server(call& it);
    [[nodiscard]] policy::backend_option option_of(const call& it, backend_server& server,
                                                   std::uint32_t tier, steady_time now);
    /// Whether a server that ranks first for the call's object keeps it, in spite of its speed.
    [[nodiscard]] static bool keeps_slow(const call& it, double slowness, steady_time now);
    /// Excludes the first servers in rank as long as they do not keep the call's object because of
    /// their rate limits.
    void pass_over_limited(call& it, std::vector<policy::backend_option>& ranked, steady_time now);
    /// Excludes the first servers in rank as long as they do not keep the call's object because of
    /// their load.
    void pass_over_busy(const call& it, std::vector<policy::backend_option>& ranked) const;
    /// First backend servers of a region in the ranking of the call's object.
    [[nodiscard]] std::vector<policy::backend_option>
    options_in(call& it, const region_name& region, std::uint32_t tier);
    /// Dispatches, queues or refuses a call.
    void dispatch_or_queue(const std::shared_ptr<call>& it);
    /// Time until the first backend server that may run the call takes requests again after a
    /// pause; 0 if one takes them now.
    /// @return nothing if there is no such server.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> shortest_back_off(const call& it) const;
    /// Whether the expected wait and the mean service time end before the call's deadline.
    [[nodiscard]] bool can_meet_deadline(const call& it);
    /// Latest time at which a call may be dispatched, because of a stop.
    [[nodiscard]] steady_time latest_dispatch(const call& it) const;
    /// Whether a call may be dispatched now, if the process stops.
    [[nodiscard]] bool can_finish_before_stop(const call& it) const;
    /// Answers all calls that have not ended, because the process is about to end.
    void answer_open_calls();
    void add_to_queue(call& it);
    /// Removes a call that is not dispatched, if it is queued.
    void remove_from_queue(call& it);
    /// Removes a queued call that is dispatched, and charges its workspace.
    void take_from_queue(call& it);
    /// Schedules `refuse_displaced`.
    void schedule_review(const service_name& service);
    /// Refuses the queued calls that cannot meet their deadlines any more, because calls that
    /// arrived later precede them.
    void refuse_displaced(const service_name& service);
    /// Delay after which the caller of a refused call may retry.
    [[nodiscard]] milliseconds retry_delay(const call& it, milliseconds longest);
    /// Handles the timer of a queued call: marks the call late, or refuses it if it cannot meet its
    /// deadline.
    void reevaluate_queued(call& it);
    /// Dispatches the first calls of a service's queue that find a free slot.
    void dispatch_queued(const service_name& service);
    /// Counts the slot that a call has released for the throughput and schedules a dispatch pass.
    void record_slot_release(const call& it);
    /// Slots of a server that requests can occupy at present: fewer than it has if its rate limit
    /// keeps some of them empty.
    [[nodiscard]] static double usable_slots(const service_state& service,
                                             const backend_server& it);
    /// Capacity of each region, with an assumed demand.
    [[nodiscard]] std::vector<policy::region_load> region_loads(const service_name& service);
    [[nodiscard]] bool overloaded_in_region(const service_name& service);
    /// Writes the requests sent to each region to the log, at a fixed interval.
    void log_region_traffic(steady_time now);
    /// Expected wait of a call in its service's queue, at the recent rate of released slots.
    [[nodiscard]] std::chrono::nanoseconds expected_wait(const call& it);
    asio::io_context& loop_;
    const clock& time_;
    const settings& settings_;
    const wire_names& names_;
    fleet& fleet_;
    metrics& metrics_;
    request_counters counters_;
    std::shared_ptr<const routing_config> config_;
    config_age_source config_age_;
    workspace_limits workspaces_;
    absl::flat_hash_map<service_name, std::unique_ptr<service_state>> services_;
    absl::flat_hash_map<std::string, std::shared_ptr<route_state>> routes_;
    policy::shift_limit shift_;
    region_traffic region_traffic_;
    load_monitor load_monitor_;
    steady_time region_traffic_logged_at_;
    std::uint64_t next_call_ = 1;
    std::size_t daemons_ = 1;
    std::optional<policy::stop_schedule> stop_;
    asio::steady_timer stop_timer_;
    /// Calls that have not ended, by their number.
    absl::flat_hash_map<std::uint64_t, std::weak_ptr<call>> open_calls_;
    bool region_overloaded_ = false;
};

} // namespace toucan::edge
