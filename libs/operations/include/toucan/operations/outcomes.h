#pragma once

#include "toucan/base/outcome.h"

#include <string>
#include <string_view>

namespace toucan::operations {

/// Value of the header `Toucan-Outcome`.
std::string_view outcome_header_value(const outcome& it);

/// Value of the header `Toucan-Reason`; empty for `completed`. Refers to text inside the outcome.
std::string_view reason_of(const outcome& it);

/// Whether the outcome cannot change when the request is repeated: true for `completed` and
/// `not_run`.
bool is_final(const outcome& it);

/// Makes a `not_run` outcome with the default retry time.
/// @param reason one of `reasons`, or free text.
outcome make_not_run(std::string_view reason);

/// Makes an `unknown` outcome.
/// @param reason one of `reasons`, or free text.
outcome make_unknown(std::string_view reason);

} // namespace toucan::operations
