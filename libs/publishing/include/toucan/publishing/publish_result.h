#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace toucan::publishing {

/// The version was in force, and stays so until a higher one follows.
struct accepted {
    std::uint64_t version = 0;

    friend bool operator==(const accepted&, const accepted&) = default;
};

/// The version is not in force and never will be.
struct not_accepted {
    std::string reason;

    friend bool operator==(const not_accepted&, const not_accepted&) = default;
};

/// Another publisher was first; the version is not in force and never will be.
struct conflict {
    std::uint64_t winning_version = 0;
    std::string winning_publisher;

    friend bool operator==(const conflict&, const conflict&) = default;
};

/// The version may be in force, now or later.
struct not_known {
    std::string reason;

    friend bool operator==(const not_known&, const not_known&) = default;
};

using publish_result = std::variant<accepted, not_accepted, conflict, not_known>;

} // namespace toucan::publishing
