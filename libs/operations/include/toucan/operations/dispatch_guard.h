#pragma once

#include <functional>
#include <utility>

namespace toucan::operations {

/// Final permission to send a request to a backend server. Each attempt calls `allows` once,
/// immediately before the first byte is written or, if the home is another daemon, before the
/// request is sent to the home. If it returns false, nothing may be written, and the outcome is
/// `not_run`.
class dispatch_guard {
public:
    /// Allows every dispatch. Used for idempotent requests.
    dispatch_guard() = default;
    /// @param may_write checks again that the deadline has not passed and that the operation may
    /// still be executed.
    explicit dispatch_guard(std::function<bool()> may_write) : may_write_(std::move(may_write)) {}

    [[nodiscard]] bool allows() const { return !may_write_ || may_write_(); }

private:
    std::function<bool()> may_write_;
};

} // namespace toucan::operations
