#pragma once

#include "toucan/base/clock.h"
#include "toucan/base/config.h"

namespace toucan::policy {

/// How far a measurement is trusted, 0 to 1: full while it is fresh, then halved every half-life.
/// @param age time since the measurement was received.
/// @param fresh_for age up to which it is trusted fully.
[[nodiscard]] double confidence(std::chrono::nanoseconds age,
                                std::chrono::nanoseconds fresh_for = 2 * config::sync_interval,
                                std::chrono::nanoseconds half_life = config::confidence_half_life);

/// Whether a change of target is worth it: the new score must be better by the hysteresis share.
/// @param current score of the present target; lower is better.
/// @param other score of the other target.
[[nodiscard]] bool worth_changing(double current, double other,
                                  double share = config::hysteresis_share);

} // namespace toucan::policy
