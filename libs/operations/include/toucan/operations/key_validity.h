#pragma once

namespace toucan::operations {

/// Validity of a key prefix according to its owner.
enum class key_validity {
    valid,
    /// Issued by this incarnation, but the validity period is over.
    expired,
    /// Not issued by this incarnation so far.
    not_issued,
};

} // namespace toucan::operations
