#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Constants behind the decisions about requests. What was measured with them is in docs/policy.md.
namespace toucan::edge::tunables {

using std::chrono::milliseconds;

// Choice of a backend server and waiting.

/// Waiting calls that one pass looks at; those behind them find no room either.
inline constexpr std::size_t calls_per_pump = 32;
/// Requests beyond its slots that a backend server holds while calls are waiting here, so that a
/// slot that becomes free is not idle until the daemons hear of it.
inline constexpr double waiting_load_share = 0.2;
/// Load per slot up to which a server takes requests that found no room at their first choice, and
/// requests planned for another region; the other slots are kept for its own objects.
inline constexpr double second_choice_fill = 0.5;
inline constexpr double other_region_fill = 0.25;
/// Time over which the rate of responses is measured.
inline constexpr milliseconds throughput_window{1000};
/// Backend servers that serve one object in the region of the plan, and in each other one.
inline constexpr std::uint32_t planned_spread = 2;
inline constexpr std::uint32_t overflow_spread = 1;
/// Part of its objective that a request waits for a server of its planned region before one of
/// another region takes it.
inline constexpr double overflow_wait_share = 0.3;
/// Part of the bound on changes of region, per second, that the plan uses; the rest is left for
/// requests that find no room where the plan sends them.
inline constexpr double planned_shift_share = 0.35;
/// Load per slot from which a region counts as full.
inline constexpr double full_region_share = 0.6;
/// Fill of all slots that is assumed before demand was measured.
inline constexpr double assumed_fill = 0.5;
/// Requests per second in a region below which its measured demand says little.
inline constexpr double least_demand_slots = 0.5;

// One request.

inline constexpr milliseconds connect_limit{400};
/// A second attempt beside one that is late starts after this part of the objective at the
/// earliest: sooner, an ordinary slow response would double the work.
inline constexpr double earliest_hedge_share = 0.6;
/// Longest time that a caller is told to stay away.
inline constexpr milliseconds longest_retry_after{1000};
inline constexpr milliseconds shortest_retry_after{50};

// Backend servers.

/// Cold time assumed when neither the server nor its service states one.
inline constexpr milliseconds default_cold_time{3000};
/// Load per slot up to which a server is used: a little more than one, so that a slot that becomes
/// free is not idle until the daemons hear of it.
inline constexpr double full_share = 1.2;
/// Daemons that are expected to use a server at least, also when none does at the moment: those
/// that begin together would otherwise each take all of its slots.
inline constexpr std::size_t likely_sharers = 2;

} // namespace toucan::edge::tunables
