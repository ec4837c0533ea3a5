#pragma once

#include "toucan/base/clock.h"

namespace toucan::policy {

/// Times of a planned stop of a process, and which requests it still takes. A request that the
/// process may not see to its end is refused while that is true: its caller can send it elsewhere.
struct stop_schedule {
    /// Until then callers may hold an older look-up answer. Most of their requests complete in
    /// time, and an idempotent one that does not can be sent again.
    steady_time lenient_until;
    /// Requests still in progress are answered as unknown, because the process is about to end.
    steady_time end;

    /// Latest time at which a request may be sent to a backend server.
    /// @param deadline time at which the request is answered in any case.
    /// @param expected_duration upper estimate of the time until the response.
    /// @return `steady_time::min()` if the request must not be sent at all.
    [[nodiscard]] steady_time latest_dispatch(bool idempotent, steady_time deadline,
                                              std::chrono::nanoseconds expected_duration) const;

    friend bool operator==(const stop_schedule&, const stop_schedule&) = default;
};

} // namespace toucan::policy
