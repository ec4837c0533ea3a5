#include "toucan/base/summary_metric.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>

namespace toucan {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> probabilities = {0.5, 0.9, 0.99};

using accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                                            acc::tag::extended_p_square_quantile>>;

} // namespace

struct summary_metric::state {
    accumulator values{acc::extended_p_square_probabilities = probabilities};
};

summary_metric::summary_metric() : state_(std::make_unique<state>()) {}

summary_metric::~summary_metric() = default;

void summary_metric::add(std::chrono::nanoseconds duration)
{
    const auto ms = std::chrono::duration<double, std::milli>(duration).count();
    const absl::MutexLock lock(&mutex_);
    state_->values(ms);
}

summary_metric::values summary_metric::read() const
{
    const absl::MutexLock lock(&mutex_);
    values result;
    result.count = acc::count(state_->values);
    if (result.count == 0) {
        return result;
    }
    result.sum_ms = acc::sum(state_->values);
    result.max_ms = acc::max(state_->values);
    result.p50_ms = acc::quantile(state_->values, acc::quantile_probability = 0.5);
    result.p99_ms = acc::quantile(state_->values, acc::quantile_probability = 0.99);
    return result;
}

} // namespace toucan
