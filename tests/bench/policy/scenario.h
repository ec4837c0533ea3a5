#pragma once

#include <cstdint>

namespace toucan::bench {

/// `reported` is power of two choices on the newest report alone; `power_of_two` is the library's.
enum class choice_kind { static_shares, reported, power_of_two, idle_tokens };
enum class measurement { fresh, lagging, missing };
enum class event_kind { steady, surge, region_lost };
enum class cross_kind { none, reported, credit };

/// One run.
struct scenario {
    event_kind event = event_kind::steady;
    /// Offered load as a share of floor(slots x headroom). In a surge, of the first region only,
    /// while the others have 60%.
    double load = 0.6;
    measurement reports = measurement::fresh;
    choice_kind choice = choice_kind::power_of_two;
    /// Without a home queue, a backend server queues whatever arrives in order of arrival.
    bool home_queue = true;
    cross_kind cross = cross_kind::none;
    /// True: slots under credit stay free. False: local requests may use them, and requests with
    /// credit come first in the queue.
    bool reserve = true;
    /// False: each daemon and home applies the whole cap alone.
    bool cap_divided = true;
    std::uint64_t seed = 1;
};

/// What one run measured.
struct result {
    double p50_ms = 0;
    double p99_ms = 0;
    double refused_urgent = 0;
    double refused_deferrable = 0;
    double region_use = 0;
    double link_use = 0;
    /// Largest growth of shifted requests from one interval to the next, as a share of the cap.
    double shift_growth = 0;
    double drain_ms = 0;
};

} // namespace toucan::bench
