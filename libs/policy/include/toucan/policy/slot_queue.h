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

/// Settings of the admission for one backend server.
struct slot_queue_settings {
    std::uint32_t slots = 1;
    double headroom = 0.9;
    /// The queue holds at most this many requests for each admitted slot.
    double queue_per_slot = 4;
    /// A request is queued only if the expected wait is within this share of its time left.
    double wait_share = 1;
    /// Time in which a new or restarted backend server rises to all of its slots.
    std::chrono::nanoseconds warm_up = std::chrono::seconds(10);
    /// First estimate of the service time, until requests have completed.
    std::chrono::nanoseconds service_time = milliseconds(20);

    friend bool operator==(const slot_queue_settings&, const slot_queue_settings&) = default;
};

/// Settings that follow the service's objective.
/// @param it service with headroom and objective.
/// @param slots configured slots of the backend server.
[[nodiscard]] slot_queue_settings settings_for(const steering::service& it, std::uint32_t slots);

/// The request may be dispatched now.
struct admitted {
    friend bool operator==(const admitted&, const admitted&) = default;
};
/// The request waits; `slot_changes` names it later.
struct queued {
    friend bool operator==(const queued&, const queued&) = default;
};
using admission = std::variant<admitted, queued, refuse>;

/// A waiting request that is refused after all.
struct refused_request {
    std::uint64_t id = 0;
    refuse why;

    friend bool operator==(const refused_request&, const refused_request&) = default;
};

/// What changed for waiting requests.
struct slot_changes {
    /// Dispatch these now.
    std::vector<std::uint64_t> started;
    /// Answer these with "not run".
    std::vector<refused_request> refused;

    friend bool operator==(const slot_changes&, const slot_changes&) = default;
};

/// Answer to a request for a slot.
struct admission_result {
    admission decision;
    /// Other requests that had to give way, or that start.
    slot_changes others;
};

/// Admission of the home daemon for one backend server. Never has more requests in progress than
/// admitted slots. Not thread-safe.
class slot_queue {
public:
    /// @param settings fixed until `configure`.
    /// @param cold true if the backend server is new, so that admission ramps up from `now`.
    slot_queue(slot_queue_settings settings, steady_time now, bool cold);

    /// Asks for a slot.
    /// @param it request; a nonzero credit id must have been accepted by the credit ledger.
    [[nodiscard]] admission_result admit(const admission_request& it, steady_time now);
    /// Ends a request that was admitted or started.
    /// @param service_time time from dispatch to the response; ignored if zero.
    slot_changes release(std::uint64_t id, std::chrono::nanoseconds service_time, steady_time now);
    /// Removes a waiting request, such as one whose caller went away.
    /// @return false if it does not wait, so it may have been started.
    bool cancel(std::uint64_t id);
    /// Refuses waiting requests that cannot be served in time and starts those that fit. To be
    /// called every few milliseconds and after `reserve` or `set_floor`.
    slot_changes expire(steady_time now);

    /// Keeps slots free for credit. Without it, local requests may use slots that are granted and
    /// idle, and a request with credit comes first in the queue; the benchmark shows fewer
    /// refusals that way. To be called after every change of the credit ledger, so after
    /// `credit_ledger::accept` and before `admit` of the same request.
    /// @param slots granted and not in use, `credit_ledger::unused`.
    void reserve(std::uint32_t slots) { reserved_ = slots; }
    /// For a home that took over: requests of its predecessor still occupy the backend server.
    /// Each report replaces the last one. The floor lapses after `hold`, in case reports stop.
    /// @param reported_in_use as the backend server reports it, own requests included.
    void set_floor(std::uint32_t reported_in_use, steady_time now,
                   std::chrono::nanoseconds hold = std::chrono::seconds(10));
    /// The backend server restarted: ramps up again.
    void restart(steady_time now);
    /// Takes over changed settings; requests in progress and the queue stay.
    void configure(const slot_queue_settings& settings);

    /// Slots that may be in use at this time.
    [[nodiscard]] std::uint32_t admitted_slots(steady_time now) const;
    /// Requests in progress, with those of a predecessor.
    [[nodiscard]] std::uint32_t in_use(steady_time now) const;
    /// Requests in progress that came without credit, with those of a predecessor.
    [[nodiscard]] std::uint32_t local_in_use(steady_time now) const;
    [[nodiscard]] std::uint32_t waiting() const
    {
        return static_cast<std::uint32_t>(queue_.size());
    }
    /// Time that a request of this class would wait if it came now.
    [[nodiscard]] std::chrono::nanoseconds expected_wait(const admission_request& it,
                                                         steady_time now) const;
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
    std::uint32_t foreign_ = 0;
    steady_time foreign_until_;
    std::uint32_t credited_ = 0;
    /// Requests in progress and whether each came with credit.
    absl::flat_hash_map<std::uint64_t, bool> running_;
    std::vector<admission_request> queue_;
};

} // namespace toucan::policy
