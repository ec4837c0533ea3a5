#include "toucan/policy/load_estimate.h"

#include "toucan/policy/confidence.h"

namespace toucan::policy {

void load_estimate::report(double value, steady_time now, double weight)
{
    // The previous estimate is weighted by its confidence.
    const double previous_weight = (1 - weight) * trust(now);
    const double mean = previous_weight > 0
                            ? previous_weight * last_->value + (1 - previous_weight) * value
                            : value;
    last_ = sample{mean, now};
}

double load_estimate::value(double fallback, steady_time now) const
{
    const double weight = trust(now);
    return weight > 0 ? weight * last_->value + (1 - weight) * fallback : fallback;
}

double load_estimate::trust(steady_time now) const
{
    return last_ ? confidence(now - last_->at) : 0;
}

} // namespace toucan::policy
