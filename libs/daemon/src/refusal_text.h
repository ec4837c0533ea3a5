#pragma once

#include <string_view>

/// Reasons of refusals that other daemons tell apart. They are part of the protocol.
namespace toucan::daemon::refusal_text {

/// Views of the home differ for a moment after a member came or went.
inline constexpr std::string_view not_home = "this daemon is not the home at present";
inline constexpr std::string_view home_moved = "the home of the backend server moved";

} // namespace toucan::daemon::refusal_text
