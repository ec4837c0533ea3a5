#pragma once

#include "toucan/base/outcome.h"
#include "toucan/operations/key_validity.h"
#include "toucan/operations/operation_key.h"

#include <cstdint>
#include <variant>

namespace toucan::operations {

/// Identifies one execution of a key in an operation table.
struct operation_token {
    operation_key key;
    std::uint64_t serial = 0;

    friend bool operator==(const operation_token&, const operation_token&) = default;
};

/// The table registered the operation. Only the holder of the token may execute it.
struct operation_started {
    operation_token token;
};

/// Another thread is executing the operation.
struct operation_in_progress {};

/// The operation has finished; `result` is the recorded outcome.
struct operation_finished {
    outcome result;
};

/// The key has no record, and its prefix has expired or was not issued by this incarnation.
struct operation_key_invalid {
    key_validity validity = key_validity::expired;
};

/// The table is full. Keys without a record whose issue number is at most that of this key are
/// refused permanently.
struct operation_table_full {};

using begin_result = std::variant<operation_started, operation_in_progress, operation_finished,
                                  operation_key_invalid, operation_table_full>;

} // namespace toucan::operations
