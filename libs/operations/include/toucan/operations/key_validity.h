#pragma once

namespace toucan::operations {

/// What the owner says about the prefix of a key.
enum class key_validity {
    valid,
    /// Issued by this incarnation, too long ago.
    expired,
    /// Not issued by this incarnation, at least not yet.
    not_issued,
};

} // namespace toucan::operations
