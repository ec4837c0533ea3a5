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

/// What a home needs to know about the backend server that it serves.
struct home_plan {
    steering::service service;
    steering::backend_server backend;
    /// Region of the backend server.
    region_name region;
    /// Part of the service's shift cap that this backend server may receive.
    policy::shift_share received_shift;

    friend bool operator==(const home_plan&, const home_plan&) = default;
};

/// This daemon as the home of one backend server: counts its slots, holds its queue, grants credit
/// and dispatches. Thread-safe; no lock is held while a request is on its way.
class home {
public:
    /// Whether this daemon may act as the home at this moment. Asked again after every wait.
    using validity = std::function<bool()>;

    /// What exists once for each daemon.
    struct environment {
        const clock* time = nullptr;
        /// Added to steady time to get the shared epoch of shift intervals.
        std::chrono::nanoseconds epoch_offset{0};
        validity valid;
        /// Test only: accept every credit, or every shift.
        bool enforce_credit = true;
        bool enforce_shift = true;
    };

    /// @param plan what to serve.
    /// @param client connections to the backend server.
    /// @param env clock and switches.
    /// @param first_credit_id differs for each home and incarnation.
    /// @param successor true if another daemon may have been the home before.
    home(home_plan plan, std::shared_ptr<backend::backend_client> client, environment env,
         std::uint64_t first_credit_id, bool successor);

    /// Takes over changed settings.
    void configure(home_plan plan, std::shared_ptr<backend::backend_client> client);
    /// Refuses new and waiting requests from now on; requests under way finish.
    void close(const std::string& reason);

    /// Serves one request: waits for a slot, dispatches, returns the whole response.
    /// @param request credit and client region are taken from it.
    /// @param deadline when the caller stops waiting.
    /// @param guard asked right before the first byte is written.
    outcome serve(const rpc::forward_request& request, steady_time deadline,
                  const operations::dispatch_guard& guard);

    /// @param request who asks and how much.
    /// @return zero slots if none can be spared.
    rpc::credit_reply grant(const rpc::credit_request& request);

    /// Takes over what a poll of the backend server found.
    void note_poll(const backend::backend_poll& poll);
    /// Ends waiting that has become pointless. Called every few milliseconds.
    void tick();

    [[nodiscard]] rpc::backend_load load() const;
    [[nodiscard]] std::uint32_t spare_slots() const;
    [[nodiscard]] std::shared_ptr<backend::backend_client> client() const;
    [[nodiscard]] home_plan plan() const;
    [[nodiscard]] nlohmann::json state() const;

private:
    struct ticket {
        bool started = false;
        std::optional<not_run> refused;
    };

    struct slot {
        std::uint64_t id = 0;
        std::shared_ptr<backend::backend_client> client;
    };

    /// A slot, or the refusal.
    std::variant<slot, not_run> acquire(const rpc::forward_request& request, steady_time deadline);
    std::optional<not_run> check_arrival(const rpc::forward_request& request, steady_time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// Whether requests may be admitted and dispatched now.
    bool is_active(steady_time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    bool may_dispatch();
    [[nodiscard]] bool is_shifted(const rpc::forward_request& request) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void settle(const policy::slot_changes& changes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void release(std::uint64_t id, std::uint64_t credit_id, std::chrono::nanoseconds service_time);
    void drop_credit(std::uint64_t credit_id) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void note_result(const backend::dispatch_result& result);
    [[nodiscard]] policy::home_load ledger_load(steady_time now) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] bool is_failing(steady_time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    [[nodiscard]] steady_time shift_now() const;

    environment env_;
    mutable absl::Mutex mutex_;
    home_plan plan_;
    std::shared_ptr<backend::backend_client> client_;
    policy::slot_queue queue_;
    policy::credit_ledger ledger_;
    policy::shift_ramp received_shift_;
    /// Nothing is admitted before, so that two homes never admit at the same time.
    steady_time active_from_;
    /// When this daemon was last seen to be a valid home.
    steady_time last_valid_;
    bool successor_ = false;
    std::optional<std::string> closed_;
    std::uint64_t next_id_ = 1;
    absl::flat_hash_map<std::uint64_t, ticket*> waiting_;
    std::string backend_incarnation_;
    std::uint32_t failed_polls_ = 0;
    steady_time last_response_;
    std::uint32_t peak_in_use_ = 0;
};

} // namespace toucan::daemon
