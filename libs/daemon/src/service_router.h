#pragma once

#include "routing_view.h"

#include "toucan/base/clock.h"
#include "toucan/operations/hedge_timer.h"
#include "toucan/operations/retry_budget.h"
#include "toucan/policy/credit_wallet.h"
#include "toucan/policy/local_backend_choice.h"
#include "toucan/policy/route_decision.h"
#include "toucan/policy/shift_ramp.h"
#include "toucan/rpc/forward_request.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace toucan::daemon {

/// Destination and size of one credit request to another failure domain.
struct credit_target {
    failure_domain_name failure_domain;
    region_name region;
    std::chrono::milliseconds one_way_delay{0};
    vm_address home;
    std::uint32_t slots = 0;
};

/// Routing state of one service at one entry VM. Thread-safe; makes no remote calls.
class service_router {
public:
    /// Dependencies and switches that the routers of all services share.
    struct environment {
        const clock* time = nullptr;
        /// Added to steady time to get the time base of shift intervals, which all daemons share.
        std::chrono::nanoseconds epoch_offset{0};
        /// Test only: if false, shift allowance is not checked.
        bool enforce_shift = true;
        /// Returns whether the budget of the link from the local region to the given region covers
        /// this many bytes.
        std::function<bool(const region_name&, std::size_t)> link_allows;
    };

    /// @param env clock, switches and link check.
    /// @param seed seed of the random choices.
    service_router(environment env, std::uint64_t seed);

    /// Applies a new routing snapshot. Does nothing if the snapshot does not contain the service.
    /// @param view new snapshot.
    /// @param service service of this router.
    void update(const routing_view& view, const service_name& service);

    /// Decides where to send a request, reserves credit and shift allowance, and counts the request
    /// as in flight at the backend server. Unless the decision is a refusal, `finish` must be
    /// called after the attempt.
    /// @param request request as received from the caller.
    /// @param tried backend servers that earlier attempts of this request were sent to.
    /// @param time_left remaining time budget.
    policy::route_decision decide(const rpc::forward_request& request,
                                  const std::vector<backend_server_name>& tried,
                                  std::chrono::nanoseconds time_left);
    /// Releases the reservations of a decision.
    /// @param decision as returned by `decide`.
    /// @param maybe_ran false only if the request certainly did not run; its shift allowance is
    /// returned then.
    /// @param elapsed duration of the attempt.
    void finish(const policy::route_decision& decision, bool maybe_ran,
                std::chrono::nanoseconds elapsed);

    /// Selects the failure domains to request credit from now, nearest first, and marks each
    /// request as pending.
    std::vector<credit_target> select_credit_targets();
    /// Records the reply to a credit request.
    /// @param target as returned by `select_credit_targets`.
    /// @param credit granted credit; zero slots if the request was refused or got no reply.
    /// @param requested_at time at which the request was sent.
    void record_credit_reply(const credit_target& target, const policy::received_credit& credit,
                             steady_time requested_at);
    /// @return RPC address of the daemon that granted the credit; nothing if the credit is unknown
    /// or its record has expired.
    [[nodiscard]] std::optional<vm_address> grantor(std::uint64_t credit_id) const;
    /// Discards a credit that its home refused.
    void drop_credit(const policy::held_credit& credit);
    /// Number of credit grants received so far.
    [[nodiscard]] std::uint64_t credits_received() const;
    /// Blocks until a grant arrives after `seen` was read.
    /// @param seen earlier result of `credits_received`.
    /// @return false if no grant arrived within the limit.
    bool wait_for_credit(std::uint64_t seen, std::chrono::milliseconds limit);

    /// Counts a request for the retry budget.
    void count_request();
    /// @return false if the retry budget is used up.
    bool try_spend_retry();
    /// Describes the router for `/state`.
    [[nodiscard]] nlohmann::json state() const;

private:
    policy::route_input make_input(const rpc::forward_request& request,
                                   const std::vector<backend_server_name>& tried,
                                   std::chrono::nanoseconds time_left)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void apply_load_reports(const routing_view& view) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    policy::shift_ramp& ramp(const region_name& region) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Requests of clients of the region `client` that may still be served in `region` in this
    /// interval; no limit applies within a region or if the client's region is not known.
    [[nodiscard]] std::uint64_t remaining_shift(const region_name& region,
                                                const region_name& client)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Current time on the shared time base of shift intervals.
    [[nodiscard]] steady_time shift_clock_now() const;
    [[nodiscard]] steady_time now() const { return env_.time->now(); }

    /// Daemon that granted a credit, kept until some time after the credit expired.
    struct grantor_record {
        vm_address address;
        steady_time expires_at;
    };

    environment env_;
    mutable absl::Mutex mutex_;
    steering::service service_;
    service_view view_;
    region_name local_region_;
    /// This daemon's share of the service's shift cap; the same for each target region.
    policy::shift_share shift_share_;
    /// Time of the last load report applied, by backend server.
    absl::flat_hash_map<backend_server_name, steady_time> last_load_reports_;
    policy::local_backend_choice choice_;
    policy::credit_wallet wallet_;
    absl::flat_hash_map<region_name, policy::shift_ramp> ramps_;
    absl::flat_hash_map<std::uint64_t, grantor_record> grantors_;
    operations::retry_budget retries_;
    /// Exponentially decayed count of requests that could not be served at once in the local
    /// failure domain.
    double remote_demand_ = 0;
    steady_time demand_updated_at_;
    std::uint64_t credits_received_ = 0;
    /// Exponentially weighted moving average of the duration of local attempts that may have run.
    double service_time_ns_ = 0;
    std::mt19937_64 random_;
};

} // namespace toucan::daemon
