#pragma once

#include <absl/types/span.h>

#include <cstddef>
#include <vector>

namespace toucan::policy {

/// Distributes requests over the targets of a traffic split by smooth weighted round-robin, so that
/// each target has its share after every few requests. A random draw would miss the shares when
/// requests are few. Not thread-safe.
class weighted_rotation {
public:
    /// Selects the target of the next request.
    /// @param weights one per target; zero or more.
    /// @return index of the target; 0 if all weights are zero.
    std::size_t next(absl::Span<const double> weights);

private:
    std::vector<double> weights_;
    std::vector<double> balances_;
};

} // namespace toucan::policy
