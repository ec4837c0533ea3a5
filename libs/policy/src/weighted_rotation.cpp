#include "toucan/policy/weighted_rotation.h"

#include <algorithm>
#include <numeric>

namespace toucan::policy {

std::size_t weighted_rotation::next(absl::Span<const double> weights)
{
    if (!std::equal(weights.begin(), weights.end(), weights_.begin(), weights_.end())) {
        // Balances from other weights could select a target that no longer has any weight.
        weights_.assign(weights.begin(), weights.end());
        balances_.assign(weights.size(), 0);
    }
    const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
    if (total <= 0) {
        return 0;
    }
    for (std::size_t it = 0; it < weights.size(); ++it) {
        balances_[it] += weights[it] / total;
    }
    const auto best = std::max_element(balances_.begin(), balances_.end());
    *best -= 1;
    return static_cast<std::size_t>(best - balances_.begin());
}

} // namespace toucan::policy
