#pragma once

#include "toucan/base/clock.h"

#include <optional>

namespace toucan::policy {

/// A reported value that fades to a static one when no report comes.
class load_estimate {
public:
    /// @param value reported load in any unit.
    /// @param weight of this report against the former estimate, 0 to 1.
    void report(double value, steady_time now, double weight = 1);
    /// @param fallback value that holds without reports.
    [[nodiscard]] double value(double fallback, steady_time now) const;
    /// 0 if nothing was reported.
    [[nodiscard]] double trust(steady_time now) const;

private:
    struct sample {
        double value;
        steady_time at;
    };
    std::optional<sample> last_;
};

} // namespace toucan::policy
