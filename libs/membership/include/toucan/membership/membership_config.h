#pragma once

#include <chrono>

/// Tunables of the membership package.
namespace toucan::membership::config {

using std::chrono::milliseconds;

/// A summary that was not refreshed for this long is kept but not used.
inline constexpr milliseconds summary_expiry{10'000};
/// An unchanged summary is sent again this often; three refreshes fit into the expiry.
inline constexpr milliseconds summary_refresh{2'500};
/// A change of the spare slots of a service by this share of its capacity is forwarded at once.
inline constexpr double spare_change_share = 0.25;
/// A change of the slots in use and queued of a backend server by this share of its admitted slots
/// is sent at once.
inline constexpr double load_change_share = 0.25;
/// Smaller changes of a backend server's load are sent this often.
inline constexpr milliseconds load_refresh{2'000};
/// Longest interval between attempts to reach an unreachable peer.
inline constexpr milliseconds max_retry_interval{4'000};
/// A failed contact counts as evidence of being alone for this long; longer than the retry
/// interval.
inline constexpr milliseconds failure_evidence{6'000};
/// A member that was not heard from for this long is forgotten.
inline constexpr milliseconds forget_after{900'000};

} // namespace toucan::membership::config
