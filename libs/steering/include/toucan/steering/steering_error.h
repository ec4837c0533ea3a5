#pragma once

#include <cstdint>
#include <string>

namespace toucan::steering {

/// One thing that is wrong in a steering file.
struct steering_error {
    std::string file;
    /// Line in the file; 0 if the error concerns the whole file.
    std::uint32_t line = 0;
    std::string message;
    std::string allowed;

    /// `file:line: message; allowed: ...`
    [[nodiscard]] std::string to_string() const;

    friend bool operator==(const steering_error&, const steering_error&) = default;
};

} // namespace toucan::steering
