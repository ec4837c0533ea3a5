#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace toucan::publishing {

/// The version was put in force and remains so until a higher version replaces it.
struct accepted {
    std::uint64_t version = 0;

    friend bool operator==(const accepted&, const accepted&) = default;
};

/// The version is not in force and cannot become so later.
struct not_accepted {
    std::string reason;

    friend bool operator==(const not_accepted&, const not_accepted&) = default;
};

/// Another publisher changed the head row first. The version is not in force and cannot become so
/// later.
struct conflict {
    std::uint64_t winning_version = 0;
    std::string winning_publisher;

    friend bool operator==(const conflict&, const conflict&) = default;
};

/// The outcome is not known: the version may be in force or may still become so.
struct not_known {
    std::string reason;

    friend bool operator==(const not_known&, const not_known&) = default;
};

/// Outcome of a publish operation.
using publish_result = std::variant<accepted, not_accepted, conflict, not_known>;

} // namespace toucan::publishing
