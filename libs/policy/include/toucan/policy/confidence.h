#pragma once

#include "toucan/base/clock.h"
#include "toucan/base/config.h"

namespace toucan::policy {

/// Weight of a measurement by its age, 0 to 1: 1 while it is fresh, then halved every half-life.
/// @param age time since the measurement was received.
/// @param fresh_for age up to which the weight is 1.
[[nodiscard]] double confidence(std::chrono::nanoseconds age,
                                std::chrono::nanoseconds fresh_for = 2 * config::sync_interval,
                                std::chrono::nanoseconds half_life = config::confidence_half_life);

/// Whether to switch targets: the other score must be lower by more than the hysteresis share.
/// @param current score of the current target; lower is better.
/// @param other score of the alternative.
/// @param share hysteresis as a share of `current`.
[[nodiscard]] bool worth_changing(double current, double other,
                                  double share = config::hysteresis_share);

} // namespace toucan::policy
