#include "toucan/base/histogram_metric.h"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <tuple>

namespace toucan {

namespace {

using axis = boost::histogram::axis::variable<double, boost::use_default>;
using histogram_type = boost::histogram::histogram<std::tuple<axis>>;

axis make_axis()
{
    // Bucket bounds in milliseconds, about two for each factor of 3.
    return axis({0, 5, 10, 20, 50, 100, 200, 300, 500, 750, 1000, 1500, 2500, 5000, 10000});
}

} // namespace

struct histogram_metric::state {
    histogram_type histogram{std::make_tuple(make_axis())};
    std::uint64_t count = 0;
    double sum_ms = 0;
};

histogram_metric::histogram_metric() : state_(std::make_unique<state>()) {}

histogram_metric::~histogram_metric() = default;

void histogram_metric::add(std::chrono::nanoseconds duration)
{
    const double ms = std::chrono::duration<double, std::milli>(duration).count();
    const absl::MutexLock lock(&mutex_);
    state_->histogram(ms);
    state_->sum_ms += ms;
    ++state_->count;
}

histogram_metric::values histogram_metric::read() const
{
    const absl::MutexLock lock(&mutex_);
    values it;
    it.count = state_->count;
    it.sum_ms = state_->sum_ms;
    const auto& bounds = state_->histogram.axis();
    std::uint64_t cumulative_count = 0;
    for (int n = 0; n < bounds.size(); ++n) {
        cumulative_count +=
            static_cast<std::uint64_t>(static_cast<double>(state_->histogram.at(n)));
        it.buckets.push_back({bounds.bin(n).upper(), cumulative_count});
    }
    return it;
}

} // namespace toucan
