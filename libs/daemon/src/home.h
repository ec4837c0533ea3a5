#pragma once

#include "toucan/backend/backend_client.h"
#include "toucan/backend/backend_poll.h"
#include "toucan/base/clock.h"
#include "toucan/base/outcome.h"
#include "toucan/operations/dispatch_guard.h"
#include "toucan/policy/credit_ledger.h"
#include "toucan/policy/shift_ramp.h"
#include "toucan/policy/slot_queue.h"
#include "toucan/rpc/backend_load.h"
#include "toucan/rpc/credit_reply.h"
#include "toucan/rpc/credit_request.h"
#include "toucan/rpc/forward_request.h"
#include "toucan/steering/backend_server.h"
#include "toucan/steering/service.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace toucan::daemon {

/// A backend server assigned to a home, with the settings needed to serve it.
struct home_assignment {
    steering::service service;
    steering::backend_server backend;
    /// Region of the backend server.
    region_name region;
    /// Share of the service's shift cap that this backend server may receive.
    policy::shift_share received_shift;

    friend bool operator==(const home_assignment&, const home_assignment&) = default;
};

/// The home of one backend server: the only daemon that dispatches requests to it. It counts the
/// slots, holds the queue and grants credit to other failure domains. Thread-safe; no lock is held
/// while a request is dispatched.
class home {
public:
    /// Returns whether this daemon may act as the home at this moment. Checked again after every
    /// wait.
    using validity = std::function<bool()>;

    /// Dependencies and switches that all homes of a daemon share.
    struct environment {
        const clock* time = nullptr;
        /// Added to steady time to get the time base of shift intervals, which all daemons share.
        std::chrono::nanoseconds epoch_offset{0};
        validity is_valid;
        /// Test only: if false, credit or shift allowance is not checked.
        bool enforce_credit = true;
        bool enforce_shift = true;
    };

    /// @param assignment backend server and its settings.
    /// @param client connections to the backend server.
    /// @param env clock, validity check and switches.
    /// @param first_credit_id first id of granted credit; distinct for each home and incarnation.
    /// @param may_have_predecessor true if another daemon may have been the home before. Its
    /// requests and credit may still be in use then.
    home(home_assignment assignment, std::shared_ptr<backend::backend_client> client,
         environment env, std::uint64_t first_credit_id, bool may_have_predecessor);

    /// Applies changed settings.
    void configure(home_assignment assignment, std::shared_ptr<backend::backend_client> client);
    /// Refuses new and waiting requests from now on; dispatched requests complete.
    /// @param reason reason given in the refusals.
    void close(const std::string& reason);

    /// Waits for a slot, dispatches the request and returns the complete response.
    /// @param request request with its credit id and client region.
    /// @param deadline time at which the caller stops waiting.
    /// @param guard checked right before the first byte is written.
    outcome serve(const rpc::forward_request& request, steady_time deadline,
                  const operations::dispatch_guard& guard);

    /// Grants credit to another daemon.
    /// @param request requester and number of slots wanted.
    /// @return zero slots if none can be spared or the home is not active.
    rpc::credit_reply grant(const rpc::credit_request& request);

    /// Applies the result of a health and load poll of the backend server.
    void apply_poll(const backend::backend_poll& poll);
    /// Refuses waiting requests that can no longer be served in time, starts those that fit, and
    /// removes expired credit. To be called every few milliseconds.
    void tick();

    /// Current load; zero admitted slots if the home is closed or the backend server does not
    /// answer.
    [[nodiscard]] rpc::backend_load load() const;
    /// Slots that can be granted as credit now; zero if the home is closed or the backend server
    /// does not answer.
    [[nodiscard]] std::uint32_t spare_slots() const;
    [[nodiscard]] std::shared_ptr<backend::backend_client> client() const;
    [[nodiscard]] home_assignment assignment() const;
    /// Describes the home for `/state`.
    [[nodiscard]] nlohmann::json state() const;

private:
    /// A request that waits for a slot, on the stack of the thread that serves it.
    struct pending_request {
        bool started = false;
        std::optional<not_run> refusal;
    };

    /// A slot of the backend server, in use by an admitted request.
    struct slot {
        std::uint64_t id = 0;
        std::shared_ptr<backend::backend_client> client;
    };

    /// Waits until the request is admitted or refused.
    /// @return the slot or the refusal.
    std::variant<slot, not_run> acquire(const rpc::forward_request& request, steady_time deadline);
    /// Checks whether the home accepts a request; takes credit and shift allowance if so.
    /// @return the refusal, or nothing if the request may be queued.
    std::optional<not_run> check_and_reserve(const rpc::forward_request& request, steady_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Checks the validity of this home and notes the time if it is valid.
    /// @return whether requests may be admitted and dispatched now.
    bool is_active(steady_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    bool may_dispatch();
    /// Whether the request's client belongs to another region than the backend server.
    [[nodiscard]] bool is_shifted(const rpc::forward_request& request) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Passes admissions and refusals by the queue on to the waiting requests.
    void notify_waiters(const policy::slot_changes& changes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void release(std::uint64_t id, std::uint64_t credit_id, std::chrono::nanoseconds service_time);
    void release_credit(std::uint64_t credit_id) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void update_last_response(const backend::dispatch_result& result);
    [[nodiscard]] policy::home_load ledger_load(steady_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Whether the backend server answered neither the last polls nor a recent request.
    [[nodiscard]] bool is_unresponsive(steady_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] steady_time shift_clock_now() const;

    environment env_;
    mutable absl::Mutex mutex_;
    home_assignment assignment_;
    std::shared_ptr<backend::backend_client> client_;
    policy::slot_queue queue_;
    policy::credit_ledger ledger_;
    policy::shift_ramp received_shift_;
    /// No request is admitted before this time, so that two homes never admit at the same time.
    steady_time active_from_;
    /// Last time at which `is_valid` returned true.
    steady_time last_valid_;
    bool may_have_predecessor_ = false;
    /// Reason given in refusals; set once the home is closed.
    std::optional<std::string> close_reason_;
    std::uint64_t next_request_id_ = 1;
    absl::flat_hash_map<std::uint64_t, pending_request*> waiting_;
    std::string backend_incarnation_;
    std::uint32_t failed_polls_ = 0;
    steady_time last_response_;
    std::uint32_t peak_in_use_ = 0;
};

} // namespace toucan::daemon
