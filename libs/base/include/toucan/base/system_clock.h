#pragma once

#include "toucan/base/clock.h"

namespace toucan {

/// The clocks of the operating system.
class system_clock final : public clock {
public:
    [[nodiscard]] steady_time now() const override { return std::chrono::steady_clock::now(); }
    [[nodiscard]] wall_time wall_now() const override { return std::chrono::system_clock::now(); }
};

} // namespace toucan
