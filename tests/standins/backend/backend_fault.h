#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace toucan::standins {

/// Faults that a backend stand-in injects into a request.
enum class fault_kind {
    none,
    /// Does not run the request and closes the connection after reading it.
    close_before_run,
    /// Runs and records the request, then closes the connection without a response.
    close_after_run,
    /// Runs and records the request, then resets the connection.
    reset,
    /// Runs and records the request, sends `value` bytes of the body and closes the connection.
    truncate,
    /// Runs and records the request and delays the response by `value` ms.
    stall,
    /// Runs and records the request and answers with `value` as status, three digits.
    invalid_status,
    /// Runs and records the request and answers with a header whose name holds the byte `value`.
    invalid_name
};

/// A fault for the next `count` requests whose target begins with `path_prefix`.
struct backend_fault {
    fault_kind kind = fault_kind::none;
    std::uint64_t count = 0;
    std::uint64_t value = 0;
    std::string path_prefix;

    /// Throws `std::out_of_range` if `kind` is unknown.
    /// @param body JSON object with `kind`, `count`, `value` and `path_prefix`.
    static backend_fault from_json(const nlohmann::json& body);
};

} // namespace toucan::standins
