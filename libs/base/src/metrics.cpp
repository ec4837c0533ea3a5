#include "toucan/base/metrics.h"

#include <fmt/format.h>

#include <iterator>

#include <utility>

namespace toucan {

metrics::counter& metrics::count(const std::string& name)
{
    const absl::MutexLock lock(&mutex_);
    auto& entry = counters_[name];
    if (!entry) {
        entry = std::make_unique<counter>(0);
    }
    return *entry;
}

summary_metric& metrics::summary(const std::string& name)
{
    const absl::MutexLock lock(&mutex_);
    auto& entry = summaries_[name];
    if (!entry) {
        entry = std::make_unique<summary_metric>();
    }
    return *entry;
}

std::shared_ptr<histogram_metric> metrics::histogram(const std::string& name,
                                                     const std::string& labels)
{
    const absl::MutexLock lock(&mutex_);
    std::erase_if(histograms_, [](const auto& it) { return it.second.expired(); });
    auto& entry = histograms_[{name, labels}];
    auto it = entry.lock();
    if (!it) {
        it = std::make_shared<histogram_metric>();
        entry = it;
    }
    return it;
}

void metrics::render_histograms(std::string& text) const
{
    auto out = std::back_inserter(text);
    for (const auto& [key, weak] : histograms_) {
        const auto& [name, labels] = key;
        const auto metric = weak.lock();
        if (!metric) {
            continue;
        }
        const auto it = metric->read();
        for (const auto& bucket : it.buckets) {
            fmt::format_to(out, "{}_bucket{{{},le=\"{}\"}} {}\n", name, labels, bucket.at_most_ms,
                           bucket.count);
        }
        fmt::format_to(out, "{}_bucket{{{},le=\"+Inf\"}} {}\n", name, labels, it.count);
        fmt::format_to(out, "{}_sum{{{}}} {}\n", name, labels, it.sum_ms);
        fmt::format_to(out, "{}_count{{{}}} {}\n", name, labels, it.count);
    }
}

void metrics::gauge(const std::string& name, std::function<double()> read)
{
    const absl::MutexLock lock(&mutex_);
    gauges_[name] = std::move(read);
}

std::string metrics::render() const
{
    std::string text;
    auto out = std::back_inserter(text);
    std::map<std::string, std::function<double()>> gauges;
    {
        const absl::MutexLock lock(&mutex_);
        for (const auto& [name, value] : counters_) {
            fmt::format_to(out, "{} {}\n", name, value->load());
        }
        for (const auto& [name, value] : summaries_) {
            const auto it = value->read();
            fmt::format_to(out, "{}{{quantile=\"0.5\"}} {}\n", name, it.p50_ms);
            fmt::format_to(out, "{}{{quantile=\"0.99\"}} {}\n", name, it.p99_ms);
            fmt::format_to(out, "{}_max {}\n", name, it.max_ms);
            fmt::format_to(out, "{}_sum {}\n", name, it.sum_ms);
            fmt::format_to(out, "{}_count {}\n", name, it.count);
        }
        render_histograms(text);
        gauges = gauges_;
    }
    // Gauge callbacks lock other tables. `mutex_` is last in the lock order, so it is released
    // before they are called.
    for (const auto& [name, read] : gauges) {
        fmt::format_to(out, "{} {}\n", name, read());
    }
    return text;
}

} // namespace toucan
