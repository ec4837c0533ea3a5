#pragma once

#include "toucan/base/outcome.h"

#include <string>
#include <string_view>

namespace toucan::operations {

/// Value of the header `Toucan-Outcome`.
/// @param it outcome of a request.
std::string_view to_header(const outcome& it);

/// Value of the header `Toucan-Reason`; empty for `completed`.
/// @param it outcome of a request.
std::string_view reason_of(const outcome& it);

/// Whether a repetition of the request can bring nothing better: `completed` and `not_run`.
/// @param it outcome of a request.
bool is_final(const outcome& it);

/// Makes a refusal with the default retry time.
/// @param reason one of `reasons`, or free text.
outcome refuse(std::string_view reason);

/// Makes an unknown outcome.
/// @param reason one of `reasons`, or free text.
outcome not_known(std::string_view reason);

} // namespace toucan::operations
