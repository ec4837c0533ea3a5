#pragma once

#include <string_view>

/// Reason texts of outcomes that daemons and callers compare. They are part of the protocol.
namespace toucan::operations::reasons {

/// The process at the address of the owner or witness is another incarnation, or the key does not
/// name it in this role. The sender continues with the next daemon that may know the key.
inline constexpr std::string_view not_this_incarnation = "not the named incarnation";
inline constexpr std::string_view expired = "expired";
inline constexpr std::string_view not_issued = "key was not issued by its owner";
inline constexpr std::string_view response_dropped = "ran; answer no longer held";
inline constexpr std::string_view still_in_progress = "still in progress";
inline constexpr std::string_view deadline_passed = "deadline passed before dispatch";
inline constexpr std::string_view table_full = "too many operations held, ask for a new prefix";
inline constexpr std::string_view witness_unreachable =
    "witness not reachable, ask for a new prefix";
inline constexpr std::string_view owner_sealed = "owner was sealed, ask for a new prefix";
inline constexpr std::string_view never_dispatched = "owner is gone, ask for a new prefix";
inline constexpr std::string_view possibly_dispatched = "owner is gone and may have run it";
inline constexpr std::string_view owner_and_witness_unreachable =
    "owner and witness are not reachable";
inline constexpr std::string_view claims_unavailable = "claims unavailable, use an issued key";
inline constexpr std::string_view malformed_key = "malformed operation key";
inline constexpr std::string_view malformed_claim = "claim row is damaged";
inline constexpr std::string_view timestamp_in_future = "time stamp of the key is in the future";

} // namespace toucan::operations::reasons
