#pragma once

#include <cstdint>
#include <string>

namespace toucan::steering {

/// An error found in a steering file.
struct steering_error {
    std::string file;
    /// Line in the file; 0 if the error concerns the whole file.
    std::uint32_t line = 0;
    std::string message;
    /// Description of the valid values; may be empty.
    std::string allowed;

    /// Formats the error as `file:line: message; allowed: ...`, without the parts that are empty.
    [[nodiscard]] std::string to_string() const;

    friend bool operator==(const steering_error&, const steering_error&) = default;
};

} // namespace toucan::steering
