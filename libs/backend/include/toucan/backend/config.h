#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Constants of the backend package.
namespace toucan::backend::config {

using std::chrono::milliseconds;

inline constexpr milliseconds connect_timeout{1000};
/// Interval at which a waiting request checks for cancellation.
inline constexpr milliseconds cancel_check_interval{10};
inline constexpr milliseconds poll_interval{500};
/// Deadline of one poll, which covers both of its requests.
inline constexpr milliseconds poll_timeout{400};
/// A load report with a higher value of `in_use` or `slots` is malformed.
inline constexpr unsigned max_reported_slots = 1'000'000;
inline constexpr std::uint32_t max_response_head_bytes = 64U << 10U;
/// Ends a response without end; longer than any that a caller waits for.
inline constexpr std::uint64_t max_response_body_bytes = 1U << 30U;
/// Interim (1xx) responses before the final one.
inline constexpr std::size_t max_interim_responses = 8;
/// Retry delay of a shed response without a valid `Retry-After` header.
inline constexpr milliseconds shed_retry_after{1000};

} // namespace toucan::backend::config
