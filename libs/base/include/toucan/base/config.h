#pragma once

#include <chrono>
#include <cstddef>

/// Constants shared by all packages. Settings override those that an operator may need to change.
namespace toucan::config {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr milliseconds sync_interval{500};
inline constexpr milliseconds gateway_interval{1000};
/// A daemon treats a peer as unreachable if its last heartbeat is older than this.
inline constexpr milliseconds unreachable_after{2000};
/// A daemon acts as a home only while its last sync is at most this old. The value is shorter than
/// `unreachable_after`: a paused home stops acting before its successor starts.
inline constexpr milliseconds home_validity{1500};
inline constexpr std::size_t gateways_per_remote_domain = 2;

inline constexpr milliseconds head_poll_interval{500};
inline constexpr std::size_t head_readers_per_domain = 2;
inline constexpr std::size_t client_blocks_per_piece = 1024;
inline constexpr std::size_t max_changed_pieces_in_head = 256;

inline constexpr milliseconds lookup_lifetime{5000};
inline constexpr seconds drain_limit{60};
inline constexpr milliseconds leaving_grace{3000};

inline constexpr milliseconds credit_lifetime{2000};
inline constexpr milliseconds confidence_half_life{5000};
/// A target replaces the preferred one only if its score is better by this fraction.
inline constexpr double hysteresis_share = 0.15;
inline constexpr double retry_budget_share = 0.10;

inline constexpr seconds key_prefix_validity{300};
inline constexpr seconds operation_record_retention{600};
inline constexpr std::size_t max_operation_records = 200'000;
inline constexpr std::size_t max_held_response_bytes = 8U << 20U;

inline constexpr milliseconds rpc_connect_timeout{1000};
inline constexpr milliseconds platform_timeout{1500};
inline constexpr std::size_t max_request_body_bytes = 4U << 20U;
inline constexpr std::size_t http_threads = 256;
inline constexpr std::size_t rpc_worker_threads = 64;

} // namespace toucan::config
