#pragma once

#include "toucan/base/response_fault.h"

#include <functional>
#include <string>

namespace toucan::platform {

/// Called for a response of the platform that arrived but is not used. May run on any thread.
using broken_response_hook = std::function<void(response_fault fault, const std::string& reason)>;

} // namespace toucan::platform
