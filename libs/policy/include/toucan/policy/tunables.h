#pragma once

#include <chrono>
#include <cstdint>

/// Constants of the policy library that its users cannot configure.
namespace toucan::policy {

/// Weight of the newest sample in the moving average of service times.
inline constexpr double service_time_weight = 0.1;
/// Weight of the newest load report of a home. The age of a report exceeds the duration of most
/// requests, so acting on the newest report alone makes all daemons switch to the same backend
/// server at once. With 0.2, reports that lag by 2 s gave a longer p99 than static shares; with
/// 0.05 they do not.
inline constexpr double load_report_weight = 0.05;
/// Share of the slots that a cold backend server starts with.
inline constexpr double cold_start_share = 0.25;
/// Share of its time budget after which a deferrable request counts as urgent.
inline constexpr double promotion_share = 0.5;
/// Largest share of the spare slots granted to one credit request, so that the first requester does
/// not take them all.
inline constexpr double grant_share = 0.5;
/// Token bucket capacity of a link, as the time in which its rate fills it.
inline constexpr std::chrono::milliseconds link_burst{100};
inline constexpr std::chrono::milliseconds min_retry_after{100};
inline constexpr std::chrono::milliseconds max_retry_after{10'000};

} // namespace toucan::policy
