#pragma once

#include "toucan/base/histogram_metric.h"
#include "toucan/base/summary_metric.h"

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace toucan {

/// Counters, gauges and summaries of one process, by name. Thread-safe; references stay valid.
class metrics {
public:
    using counter = std::atomic<std::uint64_t>;

    /// @param name Prometheus name, with labels if any: `toucan_calls_total{outcome="completed"}`.
    counter& count(const std::string& name);
    /// @param name Prometheus name without labels; values are in milliseconds.
    summary_metric& summary(const std::string& name);
    /// A histogram that is dropped when nobody holds it any more.
    /// @param name Prometheus name without labels; values are in milliseconds.
    /// @param labels for example `route="a"`.
    std::shared_ptr<histogram_metric> histogram(const std::string& name, const std::string& labels);
    /// @param name Prometheus name.
    /// @param read returns the present value; called when the metrics are rendered.
    void gauge(const std::string& name, std::function<double()> read);

    /// All metrics in the Prometheus text format.
    [[nodiscard]] std::string render() const;

private:
    void render_histograms(std::string& text) const;

    mutable absl::Mutex mutex_;
    std::map<std::string, std::unique_ptr<counter>> counters_;
    std::map<std::string, std::unique_ptr<summary_metric>> summaries_;
    /// By name and labels.
    std::map<std::pair<std::string, std::string>, std::weak_ptr<histogram_metric>> histograms_;
    std::map<std::string, std::function<double()>> gauges_;
};

} // namespace toucan
