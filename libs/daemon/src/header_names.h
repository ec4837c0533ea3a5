#pragma once

/// HTTP headers between callers, daemons and backend servers.
namespace toucan::daemon {

inline constexpr const char* deadline_header = "Toucan-Deadline-Ms";
inline constexpr const char* client_block_header = "Toucan-Client-Block";
inline constexpr const char* operation_key_header = "Toucan-Operation-Key";
inline constexpr const char* outcome_header = "Toucan-Outcome";
inline constexpr const char* reason_header = "Toucan-Reason";
inline constexpr const char* entry_vms_header = "Toucan-Entry-Vms";

} // namespace toucan::daemon
