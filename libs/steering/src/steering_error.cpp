#include "toucan/steering/steering_error.h"

#include <fmt/format.h>

namespace toucan::steering {

std::string steering_error::to_string() const
{
    const auto place = line == 0 ? file : fmt::format("{}:{}", file, line);
    return allowed.empty() ? fmt::format("{}: {}", place, message)
                           : fmt::format("{}: {}; allowed: {}", place, message, allowed);
}

} // namespace toucan::steering
