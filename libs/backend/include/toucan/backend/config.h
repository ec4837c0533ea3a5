#pragma once

#include <chrono>
#include <cstddef>

/// Constants of the backend package.
namespace toucan::backend::config {

using std::chrono::milliseconds;

inline constexpr milliseconds connect_timeout{1000};
/// Interval at which a waiting request checks for cancellation.
inline constexpr milliseconds cancel_check_interval{10};
inline constexpr milliseconds poll_interval{500};
inline constexpr milliseconds poll_timeout{400};
/// Load reports with a higher number of slots are malformed.
inline constexpr unsigned max_reported_slots = 1'000'000;
inline constexpr std::size_t max_response_head_bytes = 64U << 10U;
inline constexpr milliseconds shed_retry_after{1000};

} // namespace toucan::backend::config
