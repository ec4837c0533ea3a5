#pragma once

#include <chrono>

/// Tunables of the membership package.
namespace toucan::membership::config {

using std::chrono::milliseconds;

/// Time after which a summary that was not refreshed expires. It is kept, but its loads are not
/// used.
inline constexpr milliseconds summary_expiry{10'000};
/// Interval at which an unchanged summary is sent again. Three refreshes fit into the expiry time.
inline constexpr milliseconds summary_refresh_interval{2'500};
/// Change of the spare slots of a service, as a share of its capacity, above which its summary is
/// sent at once.
inline constexpr double spare_slots_change_threshold = 0.25;
/// Change of the number of requests in progress and queued at a backend server, as a share of its
/// admitted slots, from which its load is sent at once.
inline constexpr double load_change_threshold = 0.25;
/// Interval at which smaller changes of a backend server's load are sent.
inline constexpr milliseconds load_refresh_interval{2'000};
/// Maximum interval between attempts to reach an unreachable peer.
inline constexpr milliseconds max_retry_interval{4'000};
/// Time for which a failed sync confirms that a peer is unreachable. Longer than
/// `max_retry_interval`, so that retries renew it in time.
inline constexpr milliseconds failure_evidence_lifetime{6'000};
/// Time without contact after which a member is removed from the table.
inline constexpr milliseconds member_retention{900'000};

} // namespace toucan::membership::config
