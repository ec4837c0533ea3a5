#pragma once

#include <cstdint>
#include <string>

namespace toucan::publishing {

/// What a configuration store did with a head row that it was offered.
enum class apply_verdict {
    applied,
    /// The same head row is in force already.
    in_force,
    /// A higher version is in force.
    lower_version,
    /// The head row or an object is wrong, or another head row of the same version is in force.
    refused,
    /// An object could not be had; offering again may work.
    incomplete,
};

struct apply_result {
    apply_verdict verdict = apply_verdict::refused;
    /// Version in force afterwards.
    std::uint64_t version = 0;
    std::string reason;
};

} // namespace toucan::publishing
