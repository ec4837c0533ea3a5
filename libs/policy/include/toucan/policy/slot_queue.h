#pragma once

#include "toucan/policy/admission_order.h"
#include "toucan/policy/refusal.h"
#include "toucan/steering/service.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace toucan::policy {

/// Admission settings of one backend server. A slot is the capacity to run one request at a time.
struct slot_queue_settings {
    std::uint32_t slots = 1;
    /// Share of the slots that is admitted.
    double headroom = 0.9;
    /// Maximum queue length per admitted slot.
    double queue_per_slot = 4;
    /// A request is queued only if its expected wait is at most this share of its remaining time.
    double wait_share = 1;
    /// Time over which a new or restarted backend server ramps up to all of its slots.
    std::chrono::nanoseconds warm_up = std::chrono::seconds(10);
    /// Initial estimate of the service time, used until requests have completed.
    std::chrono::nanoseconds service_time = milliseconds(20);

    friend bool operator==(const slot_queue_settings&, const slot_queue_settings&) = default;
};

/// Settings for the service's objective.
/// @param it service with headroom and objective.
/// @param slots configured slots of the backend server.
[[nodiscard]] slot_queue_settings settings_for(const steering::service& it, std::uint32_t slots);

/// The request may be dispatched now.
struct admitted {
    friend bool operator==(const admitted&, const admitted&) = default;
};
/// The request waits; a later `slot_changes` reports its outcome.
struct queued {
    friend bool operator==(const queued&, const queued&) = default;
};
/// Decision on a request for a slot.
using admission = std::variant<admitted, queued, refuse>;

/// A queued request that is now refused.
struct refused_request {
    std::uint64_t id = 0;
    refuse why;

    friend bool operator==(const refused_request&, const refused_request&) = default;
};

/// Requests that leave the queue.
struct slot_changes {
    /// Requests to dispatch now.
    std::vector<std::uint64_t> started;
    /// Requests to answer with "not run".
    std::vector<refused_request> refused;

    friend bool operator==(const slot_changes&, const slot_changes&) = default;
};

/// Result of `slot_queue::admit`.
struct admission_result {
    admission decision;
    /// Queued requests that start or are refused as a result.
    slot_changes others;
};

/// Admission to one backend server at its home, the daemon that admits the requests of all daemons
/// to it. Requests in progress never exceed the admitted slots. Not thread-safe.
class slot_queue {
public:
    /// @param settings in force until `configure` is called.
    /// @param cold true if the backend server is new; the admitted slots then ramp up from `now`.
    slot_queue(slot_queue_settings settings, steady_time now, bool cold);

    /// Requests a slot.
    /// @param it request; a nonzero credit id must have been accepted by the credit ledger.
    [[nodiscard]] admission_result admit(const admission_request& it, steady_time now);
    /// Ends a request that was admitted or started.
    /// @param service_time time from dispatch to the response; ignored if zero.
    slot_changes release(std::uint64_t id, std::chrono::nanoseconds service_time, steady_time now);
    /// Removes a queued request, for example because its caller disconnected.
    /// @return false if the request is not queued; it may have been started.
    bool cancel(std::uint64_t id);
    /// Refuses queued requests that cannot meet their deadlines and starts those that fit. To be
    /// called every few milliseconds and after `reserve` or `set_reported_in_use`.
    slot_changes expire(steady_time now);

    /// Reserves slots for credit. To be called after every change of the credit ledger, thus after
    /// `credit_ledger::accept` and before `admit` of the same request. Without a reservation, local
    /// requests may use slots that are granted but idle, and requests with credit go to the head of
    /// the queue; the benchmark shows fewer refusals without it.
    /// @param slots granted slots that are not in use, from `credit_ledger::unused`.
    void reserve(std::uint32_t slots) { reserved_ = slots; }
    /// Sets the slots in use that the backend server reports after a takeover. Those beyond this
    /// home's requests in progress count as in use by requests of a previous home.
    /// Each report replaces the last one. The count expires after `hold`, in case reports stop.
    /// @param reported_in_use slots in use as reported by the backend server, including this home's
    /// requests.
    void set_reported_in_use(std::uint32_t reported_in_use, steady_time now,
                             std::chrono::nanoseconds hold = std::chrono::seconds(10));
    /// Restarts the ramp-up after a restart of the backend server.
    void restart(steady_time now);
    /// Applies changed settings. Requests in progress and the queue are kept.
    void configure(const slot_queue_settings& settings);

    /// Slots that may be in use at `now`.
    [[nodiscard]] std::uint32_t admitted_slots(steady_time now) const;
    /// Requests in progress, including those of a previous home.
    [[nodiscard]] std::uint32_t in_use(steady_time now) const;
    /// Requests in progress without credit, including those of a previous home.
    [[nodiscard]] std::uint32_t local_in_use(steady_time now) const;
    /// Number of queued requests.
    [[nodiscard]] std::uint32_t waiting() const
    {
        return static_cast<std::uint32_t>(queue_.size());
    }
    /// Time for which a request of this class and deadline would wait if it arrived now.
    [[nodiscard]] std::chrono::nanoseconds expected_wait(const admission_request& it,
                                                         steady_time now) const;
    /// Moving average of the service time.
    [[nodiscard]] std::chrono::nanoseconds service_time() const { return service_time_; }

private:
    [[nodiscard]] bool fits(const admission_request& it, steady_time now) const;
    [[nodiscard]] std::size_t queue_limit(steady_time now) const;
    [[nodiscard]] refuse refusal(refusal_reason reason, const admission_request& it,
                                 steady_time now) const;
    void start(const admission_request& it);
    void start_waiting(steady_time now, slot_changes& changes);

    slot_queue_settings settings_;
    steady_time ramp_start_;
    bool ramping_ = false;
    std::chrono::nanoseconds service_time_;
    std::uint32_t reserved_ = 0;
    /// Requests of a previous home that occupy the backend server, counted until
    /// `predecessor_until_`.
    std::uint32_t predecessor_in_use_ = 0;
    steady_time predecessor_until_;
    /// Requests in progress that have credit.
    std::uint32_t credit_in_use_ = 0;
    /// Requests in progress, and whether each one has credit.
    absl::flat_hash_map<std::uint64_t, bool> running_;
    std::vector<admission_request> queue_;
};

} // namespace toucan::policy
