#pragma once

#include <string_view>

/// Reasons of refusals that other daemons compare by text. They are part of the protocol between
/// daemons.
namespace toucan::daemon::refusal_text {

/// Occurs for a short time after a member joined or left, while daemons disagree on the home.
inline constexpr std::string_view not_home = "this daemon is not the home at present";
inline constexpr std::string_view home_moved = "the home of the backend server moved";

} // namespace toucan::daemon::refusal_text
