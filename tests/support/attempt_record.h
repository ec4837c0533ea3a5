#pragma once

#include <cstdint>
#include <string>

namespace toucan::test {

/// Outcome that a caller received for one attempt of a request.
enum class attempt_outcome {
    completed,
    not_run,
    unknown,
    /// The connection failed or timed out before the response was complete.
    connection_error,
    /// The response has no valid `Toucan-Outcome` or the wrong status for it.
    bad_answer
};

/// @return name of the outcome for messages.
const char* to_string(attempt_outcome it);

/// One attempt of a request at one entry VM.
struct attempt_record {
    /// Value of `Toucan-Test-Id`: the same for all attempts of a request.
    std::string test_id;
    std::string operation_key;
    bool idempotent = false;
    attempt_outcome result = attempt_outcome::connection_error;
    /// For completed responses: `Content-Length` is present and the body equals the expected one
    /// byte for byte.
    bool body_matches = false;
    int status = 0;
    std::string reason;
    std::string entry_vm;
    /// Value of `Toucan-Entry-Vms` in a not-run response.
    std::string other_entry_vms;
    std::string retry_after;
    /// Times on the machine's monotonic clock, in µs. Stand-ins record executions on the same
    /// clock.
    std::int64_t sent_us = 0;
    std::int64_t received_us = 0;
};

} // namespace toucan::test
