#include "toucan/policy/latency_model.h"

#include <cstdlib>

namespace toucan::policy {

namespace {

/// Weight of the newest response in the averages, as a divisor.
constexpr int mean_divisor = 16;
constexpr int deviation_divisor = 16;

} // namespace

void latency_model::add(duration it)
{
    const auto error = it - mean_;
    mean_ += error / mean_divisor;
    const auto abs_error = error < duration::zero() ? -error : error;
    deviation_ += (abs_error - deviation_) / deviation_divisor;
}

double latency_model::ratio(duration it) const
{
    return mean_.count() <= 0
               ? 1
               : static_cast<double>(it.count()) / static_cast<double>(mean_.count());
}

} // namespace toucan::policy
