#pragma once

#include <chrono>

namespace toucan {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;
using std::chrono::milliseconds;

/// Clock interface. Deadlines and lifetimes use steady time. Wall time is used for incarnations and
/// for values that are compared between VMs, such as the time stamps of operation keys.
class clock {
public:
    virtual ~clock() = default;
    [[nodiscard]] virtual steady_time now() const = 0;
    [[nodiscard]] virtual wall_time wall_now() const = 0;
};

} // namespace toucan
