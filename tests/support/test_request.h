#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace toucan::test {

/// A request of a test caller.
struct test_request {
    std::string method = "GET";
    /// Path below the service, beginning with `/`.
    std::string target = "/stock";
    std::string body;
    bool idempotent = true;
    /// Caller-chosen key. If empty, a non-idempotent request uses the next issued key.
    std::string operation_key;
    std::size_t response_bytes = 200;
    std::chrono::milliseconds deadline{2000};
    /// Added to the deadline for the client-side timeout, because responses may be delayed on a
    /// busy machine.
    std::chrono::milliseconds timeout_slack{5000};
    int max_attempts = 4;
};

} // namespace toucan::test
