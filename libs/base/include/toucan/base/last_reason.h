#pragma once

#include <optional>
#include <string>

namespace toucan {

/// Records the reason of a failure for the calling thread. `last_reason` returns it.
/// @param reason one sentence without a full stop.
/// @return `std::nullopt`, for `return fail("...")` in a function that returns an optional.
std::nullopt_t fail(std::string reason);

/// The most recent reason recorded by `fail` on the calling thread. Successful calls do not clear
/// it.
const std::string& last_reason();

} // namespace toucan
