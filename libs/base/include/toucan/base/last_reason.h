#pragma once

#include <optional>
#include <string>

namespace toucan {

/// Records why an operation failed, for the calling thread.
/// @param reason one sentence without a full stop.
/// @return an empty optional, so that a function can end with `return fail("...")`.
std::nullopt_t fail(std::string reason);

/// The reason recorded last by `fail` on the calling thread.
const std::string& last_reason();

} // namespace toucan
