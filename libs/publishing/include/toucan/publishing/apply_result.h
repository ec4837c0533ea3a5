#pragma once

#include <cstdint>
#include <string>

namespace toucan::publishing {

/// Outcome of offering a head row to a configuration store.
enum class apply_verdict {
    /// The configuration has been built and is now in force.
    applied,
    /// The same head row was already in force.
    in_force,
    /// A higher version is already in force.
    lower_version,
    /// The head row or an object is invalid, or a different head row of the same version is in
    /// force.
    refused,
    /// An object could not be fetched; a later attempt may succeed.
    incomplete,
};

/// Result of offering a head row to a configuration store.
struct apply_result {
    apply_verdict verdict = apply_verdict::refused;
    /// Version in force after the call; 0 if there is none.
    std::uint64_t version = 0;
    /// Why the head row was not applied; may be empty.
    std::string reason;
};

} // namespace toucan::publishing
