#include "toucan/steering/steering_error.h"

#include <fmt/format.h>

namespace toucan::steering {

std::string steering_error::to_string() const
{
    const auto location = line == 0 ? file : fmt::format("{}:{}", file, line);
    return allowed.empty() ? fmt::format("{}: {}", location, message)
                           : fmt::format("{}: {}; allowed: {}", location, message, allowed);
}

} // namespace toucan::steering
