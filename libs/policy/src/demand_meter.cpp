#include "toucan/policy/demand_meter.h"

#include <cmath>

namespace toucan::policy {

namespace {

/// Time constant of the exponential average of arrivals.
constexpr double averaging_time_s = 1.5;

double seconds(std::chrono::nanoseconds it)
{
    return std::chrono::duration<double>(it).count();
}

} // namespace

void demand_meter::decay(steady_time now)
{
    slots_ = slots(now);
    updated_at_ = now;
}

void demand_meter::add(std::chrono::nanoseconds work, steady_time now)
{
    decay(now);
    slots_ += seconds(work) / averaging_time_s;
}

double demand_meter::slots(steady_time now) const
{
    return slots_ * std::exp(-seconds(now - updated_at_) / averaging_time_s);
}

} // namespace toucan::policy
