#pragma once

#include <cstdint>
#include <string>

namespace toucan::test {

/// What a caller was told by one attempt of a request.
enum class told {
    completed,
    not_run,
    unknown,
    /// No whole answer arrived.
    connection_error,
    /// An answer outside the protocol.
    bad_answer
};

/// Name of a kind of answer, for messages.
const char* to_string(told it);

/// One attempt of a request at one entry VM.
struct call_record {
    /// Value of `Toucan-Test-Id`: the same for all attempts of a request.
    std::string test_id;
    std::string operation_key;
    bool idempotent = false;
    told result = told::connection_error;
    /// For completed answers: the body is the one that the request must get, byte for byte.
    bool whole = false;
    int status = 0;
    std::string reason;
    std::string entry_vm;
    /// Value of `Toucan-Entry-Vms` of a refusal.
    std::string other_entry_vms;
    std::string retry_after;
    /// Monotonic clock of the machine, in µs; stand-ins record executions on the same clock.
    std::int64_t sent_us = 0;
    std::int64_t answered_us = 0;
};

} // namespace toucan::test
