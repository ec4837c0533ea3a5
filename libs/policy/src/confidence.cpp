#include "toucan/policy/confidence.h"

#include <cmath>

namespace toucan::policy {

double confidence(std::chrono::nanoseconds age, std::chrono::nanoseconds fresh_for,
                  std::chrono::nanoseconds half_life)
{
    if (age <= fresh_for) {
        return 1;
    }
    const std::chrono::duration<double> excess_age = age - fresh_for;
    return std::exp2(-(excess_age / std::chrono::duration<double>(half_life)));
}

bool worth_changing(double current, double other, double share)
{
    return other < current * (1 - share);
}

} // namespace toucan::policy
