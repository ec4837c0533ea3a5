#include "toucan/policy/load_estimate.h"

#include "toucan/policy/confidence.h"

namespace toucan::policy {

void load_estimate::report(double value, steady_time now, double weight)
{
    // What is left of a former estimate counts by how far it is still trusted.
    const double former = (1 - weight) * trust(now);
    const double mean = former > 0 ? former * last_->value + (1 - former) * value : value;
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
