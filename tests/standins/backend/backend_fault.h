#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace toucan::standins {

/// What goes wrong with a request at a backend server.
enum class fault_kind {
    none,
    /// Read, not run, connection closed.
    close_before_run,
    /// Run and recorded, connection closed without an answer.
    close_after_run,
    /// Run and recorded, connection reset.
    reset,
    /// Run and recorded; the answer is cut after `value` body bytes and the connection closed.
    truncate,
    /// Run and recorded; the answer is held back for `value` ms.
    stall
};

/// A fault for the next `count` requests whose target begins with `path_prefix`.
struct backend_fault {
    fault_kind kind = fault_kind::none;
    std::uint64_t count = 0;
    std::uint64_t value = 0;
    std::string path_prefix;

    /// @param body JSON object with `kind`, `count`, `value` and `path_prefix`.
    static backend_fault from_json(const nlohmann::json& body);
};

} // namespace toucan::standins
