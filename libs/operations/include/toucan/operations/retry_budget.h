#pragma once

#include "toucan/base/config.h"

namespace toucan::operations {

/// Token bucket that limits retries and hedges to a share of the requests. A value type; the owner
/// synchronizes access.
class retry_budget {
public:
    /// @param share extra attempts per request, 0 to 1.
    /// @param burst capacity of the bucket in extra attempts, at least 1.
    explicit retry_budget(double share = toucan::config::retry_budget_share, double burst = 10);

    /// Adds the share of one request of a caller to the bucket.
    void on_request();
    /// Takes one token if there is one.
    /// @return whether one extra attempt may be made.
    [[nodiscard]] bool try_spend();
    [[nodiscard]] double tokens() const { return tokens_; }

    friend bool operator==(const retry_budget&, const retry_budget&) = default;

private:
    double share_;
    double burst_;
    double tokens_ = 0;
};

} // namespace toucan::operations
