#pragma once

#include <chrono>
#include <functional>

namespace toucan::test {

/// Wide, because the machines that run tests are shared and noisy.
inline constexpr std::chrono::seconds wait_deadline{30};

/// Waits for a condition.
/// @param condition is evaluated every 10 ms; an exception counts as false.
/// @param deadline longest wait.
/// @return false if the condition did not hold in time.
bool wait_until(const std::function<bool()>& condition,
                std::chrono::milliseconds deadline = wait_deadline);

} // namespace toucan::test
