#pragma once

#include "toucan/base/clock.h"

#include <compare>
#include <cstddef>
#include <deque>
#include <map>

namespace toucan::policy {

/// Precedence of a request in its service's queue; the lower value goes first.
struct precedence {
    int workspace_priority = 0;
    int route_priority = 0;
    bool late = false;

    friend auto operator<=>(const precedence&, const precedence&) = default;
};

/// Recent rate at which the slots of a service become free, and the part of it that requests of
/// each precedence get. Not thread-safe.
class slot_throughput {
public:
    /// @param window time in which released slots are counted.
    explicit slot_throughput(std::chrono::nanoseconds window) : window_(window) {}

    /// Counts a slot released by a request.
    /// @param waited the request was queued before it got the slot.
    void record_release(const precedence& by, bool waited, steady_time now);
    /// Expected wait of a request behind `ahead` queued requests. Slots that queued requests
    /// of a higher precedence have used recently are assumed to go to such requests also in future,
    /// so that a request is not queued for slots that later arrivals will take. Slots that were
    /// free when a request arrived do not count, because they are no sign of scarcity.
    /// @return 0 if no slot has been released yet.
    [[nodiscard]] std::chrono::nanoseconds expected_wait(std::size_t ahead, const precedence& of,
                                                         steady_time now) const;
    /// Mean time between two released slots; 0 if none has been released yet.
    [[nodiscard]] std::chrono::nanoseconds interval(steady_time now) const;

private:
    struct release {
        steady_time at;
        precedence by;
        bool waited = false;
    };

    [[nodiscard]] std::chrono::nanoseconds span(steady_time now) const;

    std::chrono::nanoseconds window_;
    std::deque<release> releases_;
    /// Slots used by requests that were queued.
    std::map<precedence, std::size_t> counts_;
};

} // namespace toucan::policy
