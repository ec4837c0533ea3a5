#pragma once

#include "toucan/base/config.h"

namespace toucan::operations {

/// Bounds retries and hedges to a share of the requests, as a token bucket. A value type; the owner
/// synchronises access.
class retry_budget {
public:
    /// @param share extra attempts per request, 0 to 1.
    /// @param burst extra attempts that may be saved up, at least 1.
    explicit retry_budget(double share = toucan::config::retry_budget_share, double burst = 10);

    /// Counts a request of a caller.
    void on_request();
    /// @return whether one extra attempt may be made; it is then paid for.
    [[nodiscard]] bool try_spend();
    [[nodiscard]] double tokens() const { return tokens_; }

    friend bool operator==(const retry_budget&, const retry_budget&) = default;

private:
    double share_;
    double burst_;
    double tokens_ = 0;
};

} // namespace toucan::operations
