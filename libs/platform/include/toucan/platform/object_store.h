#pragma once

#include <optional>
#include <string>

namespace toucan::platform {

/// Interface of the platform's object store. Objects are immutable and named by their content hash.
class object_store {
public:
    virtual ~object_store() = default;

    /// Reads an object.
    /// @return the content, verified by its hash, or empty, with a last reason.
    virtual std::optional<std::string> get(const std::string& hash) = 0;
    /// Writes an object. Writes are idempotent, so a write whose reply was lost can be repeated.
    /// @param hash content hash of `bytes`.
    /// @return false, with a last reason, if it is not certain that the object is stored.
    virtual bool put(const std::string& hash, const std::string& bytes) = 0;
};

} // namespace toucan::platform
