#pragma once

#include <string_view>

/// Reasons of outcomes that other code or callers tell apart. They are part of the protocol.
namespace toucan::operations::reasons {

/// The process at the address of the owner or witness is another incarnation, or knows nothing of
/// the key; the sender goes on to the next one who may know.
inline constexpr std::string_view not_this_incarnation = "not the named incarnation";
inline constexpr std::string_view expired = "expired";
inline constexpr std::string_view not_issued = "key was not issued by its owner";
inline constexpr std::string_view response_dropped = "ran; answer no longer held";
inline constexpr std::string_view still_running = "still in progress";
inline constexpr std::string_view deadline = "deadline passed before dispatch";
inline constexpr std::string_view table_full = "too many operations held, ask for a new prefix";
inline constexpr std::string_view no_witness_answer = "witness not reachable, ask for a new prefix";
inline constexpr std::string_view sealed = "owner was sealed, ask for a new prefix";
inline constexpr std::string_view never_dispatched = "owner is gone, ask for a new prefix";
inline constexpr std::string_view maybe_dispatched = "owner is gone and may have run it";
inline constexpr std::string_view all_gone = "owner and witness are not reachable";
inline constexpr std::string_view claims_unavailable = "claims unavailable, use an issued key";
inline constexpr std::string_view bad_key = "malformed operation key";
inline constexpr std::string_view damaged_claim = "claim row is damaged";
inline constexpr std::string_view from_the_future = "time stamp of the key is in the future";

} // namespace toucan::operations::reasons
