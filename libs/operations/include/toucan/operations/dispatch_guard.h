#pragma once

#include <functional>
#include <utility>

namespace toucan::operations {

/// Asked once by whoever writes a request to a backend server, right before the first byte. When it
/// denies, nothing may be written and the outcome is `not_run`.
class dispatch_guard {
public:
    /// Allows every dispatch; for idempotent requests.
    dispatch_guard() = default;
    /// @param may_write re-checks the deadline and the right to execute.
    explicit dispatch_guard(std::function<bool()> may_write) : may_write_(std::move(may_write)) {}

    [[nodiscard]] bool allows() const { return !may_write_ || may_write_(); }

private:
    std::function<bool()> may_write_;
};

} // namespace toucan::operations
