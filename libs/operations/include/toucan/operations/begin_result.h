#pragma once

#include "toucan/base/outcome.h"
#include "toucan/operations/key_validity.h"
#include "toucan/operations/operation_key.h"

#include <cstdint>
#include <variant>

namespace toucan::operations {

/// Names one execution in an operation table.
struct operation_token {
    operation_key key;
    std::uint64_t serial = 0;

    friend bool operator==(const operation_token&, const operation_token&) = default;
};

/// The holder of the token, and nobody else, may execute the operation.
struct operation_started {
    operation_token token;
};

/// Another thread is executing the operation.
struct operation_in_progress {};

/// The recorded outcome of an earlier execution.
struct operation_finished {
    outcome result;
};

/// There is no record, and the key is not valid any more or was never issued.
struct operation_expired {
    key_validity validity = key_validity::expired;
};

/// The table has no room; keys of this prefix that have no record are refused for good.
struct operation_table_full {};

using begin_result = std::variant<operation_started, operation_in_progress, operation_finished,
                                  operation_expired, operation_table_full>;

} // namespace toucan::operations
