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

/// Registry of the counters, gauges, summaries and histograms of one process, by name. Thread-safe.
/// Returned references stay valid as long as the registry.
class metrics {
public:
    using counter = std::atomic<std::uint64_t>;

    /// Returns a counter; creates it with value 0 on first use.
    /// @param name Prometheus name, with labels if any: `toucan_calls_total{outcome="completed"}`.
    counter& count(const std::string& name);
    /// Returns a summary; creates it on first use.
    /// @param name Prometheus name without labels; values are in milliseconds.
    summary_metric& summary(const std::string& name);
    /// Returns a histogram; creates it on first use and drops it with the last returned pointer.
    /// @param name Prometheus name without labels; values are in milliseconds.
    /// @param labels for example `route="a"`.
    std::shared_ptr<histogram_metric> histogram(const std::string& name, const std::string& labels);
    /// Registers a gauge or replaces the one of the same name.
    /// @param name Prometheus name.
    /// @param read returns the current value; `render` calls it without holding the lock.
    void gauge(const std::string& name, std::function<double()> read);

    /// All metrics in the Prometheus text format.
    [[nodiscard]] std::string render() const;

private:
    void render_histograms(std::string& text) const;

    mutable absl::Mutex mutex_;
    std::map<std::string, std::unique_ptr<counter>> counters_;
    std::map<std::string, std::unique_ptr<summary_metric>> summaries_;
    /// Keyed by name and labels.
    std::map<std::pair<std::string, std::string>, std::weak_ptr<histogram_metric>> histograms_;
    std::map<std::string, std::function<double()>> gauges_;
};

} // namespace toucan
