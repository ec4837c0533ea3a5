#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Tuning constants of request dispatch. docs/policy.md has the measurements.
/// Utilization is load per slot: 1 means that all slots of a backend server are occupied.
namespace toucan::edge::tunables {

using std::chrono::milliseconds;

// Backend server choice and queueing.

/// Queued calls that one dispatch pass examines. If these find no free slot, later calls do not
/// either.
inline constexpr std::size_t max_calls_per_dispatch_pass = 32;
/// Requests beyond its slots that a backend server may hold while calls are queued, as a share of
/// its slots. They keep a released slot busy until the daemons receive the next load report.
inline constexpr double queued_overcommit_share = 0.2;
/// Utilization up to which a server accepts requests whose first-choice server is full, and up to
/// which it accepts requests planned for another region. The remaining slots are reserved for the
/// objects whose first choice is this server.
inline constexpr double max_second_choice_utilization = 0.5;
inline constexpr double max_other_region_utilization = 0.25;
/// Delay after the arrival of a call until the calls that it precedes are checked against their
/// deadlines. One check examines the whole queue, so arrivals within the delay share one.
inline constexpr milliseconds queue_review_interval{20};
/// Number of servers of an object's ranking that it may leave for the next one because of their
/// load. If none of them keeps it, it stays with the first.
inline constexpr std::size_t max_busy_passed_over = 3;
/// Window of the throughput measurement, in which released slots are counted.
inline constexpr milliseconds throughput_window{1000};
/// Number of backend servers that may serve one object in the planned region, and in each other
/// region.
inline constexpr std::uint32_t planned_spread = 2;
inline constexpr std::uint32_t overflow_spread = 1;
/// Share of the route's objective that a call waits for a server of its planned region before it
/// may overflow to another region.
inline constexpr double overflow_wait_share = 0.3;
/// Utilization above which a region counts as overloaded. Its relays then report to other regions
/// more often.
inline constexpr double overloaded_region_utilization = 0.6;
/// Utilization of all slots that is assumed until demand has been measured.
inline constexpr double assumed_utilization = 0.5;
/// Total measured demand for a service, in slots over all regions, below which the measurement is
/// too imprecise for the region plan and the assumed demand applies.
inline constexpr double min_measured_demand_slots = 0.5;

// Single request.

inline constexpr milliseconds connect_timeout{400};
/// Minimum delay of a hedged attempt, as a share of the route's objective. With a shorter delay,
/// ordinary slow responses would double the work.
inline constexpr double min_hedge_delay_share = 0.6;
/// Bounds of the Retry-After value in refusals.
inline constexpr milliseconds max_retry_after{1000};
inline constexpr milliseconds min_retry_after{50};

// Backend servers.

/// A connection is opened ahead of the next request to servers at least this far away, for this
/// long after the last request.
inline constexpr milliseconds min_spare_round_trip{20};
inline constexpr milliseconds spare_connection_window{20000};
/// Time for which such a connection is used if the server has not announced its idle timeout.
inline constexpr milliseconds default_spare_idle{4000};

/// Cold period after an evacuation of a server whose service has no settings.
inline constexpr milliseconds default_cold_duration{3000};
/// Utilization up to which a server receives requests. A value above 1 keeps a released slot busy
/// until the daemons receive the next load report.
inline constexpr double max_utilization = 1.2;
/// Time over which a server that had asked for a pause gets its share of the requests back, and the
/// share with which it begins.
inline constexpr milliseconds return_time{1000};
inline constexpr double min_return_share = 0.2;
/// Minimum number of daemons assumed to share a server, even if none uses it at present. Otherwise
/// daemons that start to use it at the same time would each claim all of its slots.
inline constexpr std::size_t min_assumed_sharers = 2;

} // namespace toucan::edge::tunables
