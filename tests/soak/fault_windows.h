#pragma once

#include "history.h"
#include "judge.h"

#include <cstddef>

namespace toucan::soak {

/// @return the last time, `at` or before, at which no injected fault had affected the daemon or the
/// store within `fault_free_time`.
[[nodiscard]] steady_time last_unaffected(const history& it, const promised_bounds& bounds,
                                          std::size_t daemon, steady_time at);

} // namespace toucan::soak
