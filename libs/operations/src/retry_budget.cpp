#include "toucan/operations/retry_budget.h"

#include <algorithm>

namespace toucan::operations {

retry_budget::retry_budget(double share, double burst)
    : share_(std::clamp(share, 0.0, 1.0)), burst_(std::max(burst, 1.0))
{
}

void retry_budget::on_request()
{
    tokens_ = std::min(burst_, tokens_ + share_);
}

bool retry_budget::try_spend()
{
    // The floating-point sum of ten shares of 0.1 is slightly less than 1.
    constexpr double rounding_tolerance = 1e-9;
    if (tokens_ + rounding_tolerance < 1.0) {
        return false;
    }
    tokens_ = std::max(0.0, tokens_ - 1.0);
    return true;
}

} // namespace toucan::operations
