#pragma once

#include <chrono>
#include <functional>

namespace toucan::test {

/// Generous, because tests run on shared machines with varying load.
inline constexpr std::chrono::seconds wait_deadline{30};

/// Polls a condition every 10 ms until it holds.
/// @param condition predicate; an exception counts as false.
/// @param deadline maximum wait.
/// @return false if the condition did not hold before the deadline.
bool wait_until(const std::function<bool()>& condition,
                std::chrono::milliseconds deadline = wait_deadline);

} // namespace toucan::test
