#pragma once

#include <chrono>
#include <cstddef>

/// Tunables of the whole workspace. Settings override those that an operator may need to change.
namespace toucan::config {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr milliseconds sync_interval{500};
inline constexpr milliseconds gateway_interval{1000};
/// A peer that was not heard from for this long is unreachable to the local daemon.
inline constexpr milliseconds unreachable_after{2000};
/// A daemon may act as a home only if its last sync is at most this old. Shorter than
/// `unreachable_after`, so that a paused home stops before its successor starts.
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
/// A change of preferred target needs a score that is better by this share.
inline constexpr double hysteresis_share = 0.15;
inline constexpr double retry_budget_share = 0.10;

inline constexpr seconds key_prefix_validity{300};
inline constexpr seconds operation_record_hold{600};
inline constexpr std::size_t max_operation_records = 200'000;
inline constexpr std::size_t max_held_answer_bytes = 8U << 20U;

inline constexpr milliseconds rpc_connect_timeout{1000};
inline constexpr milliseconds platform_timeout{1500};
inline constexpr std::size_t max_request_body_bytes = 4U << 20U;
inline constexpr std::size_t http_threads = 256;
inline constexpr std::size_t rpc_worker_threads = 64;

} // namespace toucan::config
