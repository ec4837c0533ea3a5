#pragma once

#include <cstdint>

namespace toucan::bench {

/// Local backend choice. `static_shares` is random in proportion to the slots. `reported` is power
/// of two choices on the newest report alone; `power_of_two` is the choice of the library.
/// `idle_tokens` uses tokens that backend servers with a free slot send to random daemons, and
/// static shares otherwise.
enum class choice_kind { static_shares, reported, power_of_two, idle_tokens };
/// State of the load reports: `lagging` reports are 2 s old, `missing` reports stop during the run.
enum class measurement { fresh, lagging, missing };
/// Event during the run: none, more load in the first region, or loss of the first region.
enum class event_kind { steady, surge, region_lost };
/// Basis for serving requests in other failure domains.
enum class cross_kind { none, reported, credit };

/// Parameters of one benchmark run.
struct scenario {
    event_kind event = event_kind::steady;
    /// Offered load as a share of floor(slots x headroom). In a surge it applies to the first
    /// region from the event on; before the event and in the other regions the load is 60%.
    double load = 0.6;
    measurement reports = measurement::fresh;
    choice_kind choice = choice_kind::power_of_two;
    /// If false, each backend server queues all requests in order of arrival.
    bool home_queue = true;
    cross_kind cross = cross_kind::none;
    /// If true, slots under credit stay free. If false, local requests may use them, and requests
    /// with credit go to the head of the queue.
    bool reserve = true;
    /// If false, each daemon and each home applies the whole shift cap on its own.
    bool cap_divided = true;
    std::uint64_t seed = 1;
};

/// Measurements of one run.
struct result {
    /// Response times of served requests.
    double p50_ms = 0;
    double p99_ms = 0;
    /// Share of urgent and of deferrable requests that were not served.
    double refused_urgent = 0;
    double refused_deferrable = 0;
    /// Peak number of requests running at, and without a home queue also queued by, the backend
    /// servers of one service in a region, as a share of their slots.
    double region_use = 0;
    /// Peak of bytes on a link in 100 ms, as a share of its capacity.
    double link_use = 0;
    /// Largest growth of shifted requests from one interval to the next, as a share of the cap.
    double shift_growth = 0;
    /// Time from the end of arrivals until all requests have ended.
    double drain_ms = 0;
};

} // namespace toucan::bench
