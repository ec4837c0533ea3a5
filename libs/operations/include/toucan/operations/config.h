#pragma once

#include <chrono>
#include <cstddef>

/// Tunables of the operations package; `toucan/base/config.h` holds validity, hold time and limits.
namespace toucan::operations::config {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Issue times are kept once per this interval, so a prefix may expire this much early.
inline constexpr seconds issue_checkpoint_interval{1};
/// Bounds the checkpoints when the witness changes often. The oldest prefixes expire early then.
inline constexpr std::size_t max_issue_checkpoints = 4096;
inline constexpr std::size_t max_excluded_witnesses = 64;

inline constexpr std::size_t max_intents = 200'000;
inline constexpr std::size_t max_owners = 4096;

inline constexpr std::size_t max_key_text = 128;
inline constexpr hours caller_key_age{24};
/// Tolerated difference between the clocks of a caller and a daemon.
inline constexpr hours caller_key_skew{1};
inline constexpr int claim_attempts = 3;

inline constexpr milliseconds intent_timeout{1000};
/// Kept back from the time given to an owner, so that its witness can still be asked.
inline constexpr milliseconds resolve_reserve{250};
/// A receiver is given this much less time than its caller waits, so that its answer arrives.
inline constexpr milliseconds reply_margin{20};
inline constexpr milliseconds retry_after{1000};

} // namespace toucan::operations::config
