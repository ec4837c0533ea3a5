#pragma once

#include "history.h"

#include <istream>
#include <vector>

namespace toucan::soak {

/// Reads the requests that a daemon has logged as unanswered (`event=unanswered`).
std::vector<unanswered_request> read_unanswered(std::istream& log);

} // namespace toucan::soak
