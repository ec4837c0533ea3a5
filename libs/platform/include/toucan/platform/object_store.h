#pragma once

#include <optional>
#include <string>

namespace toucan::platform {

/// The platform's store of immutable objects, named by their content hash.
class object_store {
public:
    virtual ~object_store() = default;

    /// @param hash name of the object.
    /// @return the verified content, or nothing with a last reason.
    virtual std::optional<std::string> get(const std::string& hash) = 0;
    /// Writing the same object twice is harmless, so a lost reply is answered by writing again.
    /// @param hash name of the object.
    /// @param bytes content.
    /// @return false, with a last reason, if the object may not be stored.
    virtual bool put(const std::string& hash, const std::string& bytes) = 0;
};

} // namespace toucan::platform
