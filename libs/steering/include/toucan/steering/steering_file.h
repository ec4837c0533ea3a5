#pragma once

#include <string>

namespace toucan::steering {

/// Name and text of a steering file.
struct steering_file {
    std::string name;
    std::string text;
};

} // namespace toucan::steering
