#pragma once

#include <chrono>
#include <cstddef>

/// Tunables of the operations package. The validity of prefixes, the retention of records and the
/// limits of the operation table are in `toucan/base/config.h`.
namespace toucan::operations::config {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Interval between issue checkpoints. A prefix may expire earlier by up to this time.
inline constexpr seconds issue_checkpoint_interval{1};
/// Maximum number of issue checkpoints, reached if the witness changes often. Beyond it the oldest
/// prefixes expire early.
inline constexpr std::size_t max_issue_checkpoints = 4096;
inline constexpr std::size_t max_excluded_witnesses = 64;

/// Limits of a witness table.
inline constexpr std::size_t max_intents = 200'000;
inline constexpr std::size_t max_owners = 4096;

/// Maximum length of the text of a caller-chosen key, in characters.
inline constexpr std::size_t max_key_text_length = 128;
inline constexpr hours max_caller_key_age{24};
/// Maximum lead of a caller's clock over the daemon's clock.
inline constexpr hours max_caller_clock_skew{1};
/// Attempts to write the claim row of a caller-chosen key.
inline constexpr int max_claim_attempts = 3;

inline constexpr milliseconds intent_timeout{1000};
/// Reserved from the timeout of a request to the owner, to leave time to ask its witness.
inline constexpr milliseconds resolve_time_reserve{250};
/// The time budget of a forwarded request is shorter than the RPC timeout by this much, so that the
/// reply arrives before the timeout.
inline constexpr milliseconds reply_margin{20};
inline constexpr milliseconds default_retry_after{1000};

} // namespace toucan::operations::config
