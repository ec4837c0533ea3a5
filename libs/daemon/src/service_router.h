#pragma once

#include "routing_view.h"

#include "toucan/base/clock.h"
#include "toucan/operations/hedge_timer.h"
#include "toucan/operations/retry_budget.h"
#include "toucan/policy/credit_wallet.h"
#include "toucan/policy/home_choice.h"
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

/// A failure domain that should be asked for credit.
struct credit_question {
    failure_domain_name failure_domain;
    region_name region;
    std::chrono::milliseconds one_way_delay{0};
    vm_address home;
    std::uint32_t slots = 0;
};

/// Routing state of one service at one entry VM. Thread-safe; makes no remote calls.
class service_router {
public:
    struct environment {
        const clock* time = nullptr;
        /// Added to steady time to get the shared epoch of shift intervals.
        std::chrono::nanoseconds epoch_offset{0};
        bool enforce_shift = true;
        /// Whether the link from the own region to another one allows this many bytes.
        std::function<bool(const region_name&, std::size_t)> link_allows;
    };

    service_router(environment env, std::uint64_t seed);

    /// Takes over a new snapshot.
    /// @param view snapshot that holds the service.
    /// @param service service of this router.
    void update(const routing_view& view, const service_name& service);

    /// Decides where a request goes, and takes what it needs: credit, shift allowance and the count
    /// of requests at the backend server. To be followed by `finish`.
    /// @param request what the caller asked for.
    /// @param tried backend servers that refused this request already.
    /// @param time_left remaining time budget.
    policy::route_decision decide(const rpc::forward_request& request,
                                  const std::vector<backend_server_name>& tried,
                                  std::chrono::nanoseconds time_left);
    /// Returns what a decision took.
    /// @param decision as returned by `decide`.
    /// @param ran false if the request certainly did not run.
    /// @param took duration of the attempt.
    void finish(const policy::route_decision& decision, bool ran, std::chrono::nanoseconds took);

    /// Failure domains to ask for credit now; each counts as asked.
    std::vector<credit_question> credit_questions();
    /// @param question from `credit_questions`.
    /// @param credit what was granted; no slots if none was.
    /// @param asked_at when the question was sent.
    void note_credit(const credit_question& question, const policy::received_credit& credit,
                     steady_time asked_at);
    /// The daemon that granted a credit.
    [[nodiscard]] std::optional<vm_address> grantor(std::uint64_t credit_id) const;
    /// The owner does not know this credit any more.
    void drop_credit(const policy::held_credit& credit);
    /// Number of grants received so far.
    [[nodiscard]] std::uint64_t credits_received() const;
    /// Waits until more grants have arrived than were seen.
    /// @return false if none came in time.
    bool wait_for_credit(std::uint64_t seen, std::chrono::milliseconds limit);

    void count_request();
    bool try_spend_retry();
    [[nodiscard]] nlohmann::json state() const;

private:
    policy::route_input make_input(const rpc::forward_request& request,
                                   const std::vector<backend_server_name>& tried,
                                   std::chrono::nanoseconds time_left)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void take_loads(const routing_view& view) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    policy::shift_ramp& ramp(const region_name& region) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] std::uint64_t shift_left(const region_name& region, const region_name& client)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] steady_time shift_now() const;
    [[nodiscard]] steady_time now() const { return env_.time->now(); }

    struct grant_source {
        vm_address address;
        steady_time until;
    };

    environment env_;
    mutable absl::Mutex mutex_;
    steering::service service_;
    service_view view_;
    region_name own_region_;
    /// This daemon's part of the shift cap, towards any region.
    policy::shift_share share_;
    absl::flat_hash_map<backend_server_name, steady_time> load_times_;
    policy::home_choice choice_;
    policy::credit_wallet wallet_;
    absl::flat_hash_map<region_name, policy::shift_ramp> ramps_;
    absl::flat_hash_map<std::uint64_t, grant_source> grantors_;
    operations::retry_budget retries_;
    /// Requests of late that could not be served in the own failure domain at once.
    double remote_demand_ = 0;
    steady_time demand_at_;
    std::uint64_t credits_received_ = 0;
    double service_time_ns_ = 0;
    std::mt19937_64 random_;
};

} // namespace toucan::daemon
