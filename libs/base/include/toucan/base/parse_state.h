#pragma once

namespace toucan {

/// State of a message after received data was parsed; `bad` if it is invalid or exceeds a limit.
enum class parse_state { incomplete, complete, bad };

} // namespace toucan
