#pragma once

#include "toucan/base/clock.h"

#include <optional>

namespace toucan::policy {

/// Moving average of a reported value. As the last report ages, the estimate decays towards a
/// fallback value.
class load_estimate {
public:
    /// Adds a report.
    /// @param value reported load in any unit.
    /// @param weight weight of this report against the previous estimate, 0 to 1.
    void report(double value, steady_time now, double weight = 1);
    /// Estimate at `now`.
    /// @param fallback value used to the extent that reports are missing or old.
    [[nodiscard]] double value(double fallback, steady_time now) const;
    /// Weight of the last estimate by its age, 0 to 1; 0 without reports.
    [[nodiscard]] double trust(steady_time now) const;

private:
    struct sample {
        double value;
        steady_time at;
    };
    std::optional<sample> last_;
};

} // namespace toucan::policy
