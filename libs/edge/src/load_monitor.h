#pragma once

#include "fleet.h"
#include "server_notice.h"

#include "toucan/base/clock.h"
#include "toucan/base/metrics.h"
#include "toucan/base/name.h"
#include "toucan/edge/wire_names.h"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace toucan::edge {

/// Measures how evenly the backend servers of each service are loaded and how good the information
/// is that servers are chosen by. The figures are in metrics and in the event `load_balance`. Not
/// thread-safe.
///
/// The references passed to the constructor must outlive this object.
class load_monitor {
public:
    load_monitor(const clock& time, fleet& servers, const wire_names& names, metrics& all);

    /// Records that a server was chosen for a request.
    void record_choice(const backend_server& it);
    /// Records that a server has refused a request without running it.
    void record_refusal(const backend_server& it);
    /// Records by how many slots the estimate differed from the load that a server has stated.
    void record_error(const backend_server& it, double slots);
    /// Counts a load header that cannot be read.
    void record_notice(const server_notice& it);
    /// Adds the present utilization of a service's servers to its figures. Called at a fixed
    /// interval.
    void sample(const service_name& service);
    /// Writes the event and starts the next interval, every 10 s.
    void log_when_due();

private:
    /// Value of a gauge, shared with the registry.
    using gauge_value = std::shared_ptr<std::atomic<double>>;

    /// The last values of an interval.
    class recent_values {
    public:
        void add(double value);
        /// @return 0 without values.
        [[nodiscard]] double quantile(double share) const;
        void clear();

    private:
        std::vector<double> values_;
        std::size_t next_ = 0;
    };
    /// Utilization of one server, summed over the samples of an interval.
    struct server_use {
        region_name region;
        double sum = 0;
        std::uint32_t samples = 0;
    };
    /// Distribution of the mean utilization over the servers of a region.
    struct region_gauges {
        gauge_value median;
        gauge_value p90;
        gauge_value max;
        gauge_value max_over_mean;
    };
    struct service_figures {
        service_figures(const service_name& service, metrics& all);

        metrics::counter& refusals_total;
        std::shared_ptr<histogram_metric> age_ms;
        gauge_value error_median;
        gauge_value error_p90;
        absl::flat_hash_map<std::uint64_t, server_use> servers;
        std::map<region_name, region_gauges> regions;
        recent_values ages_ms;
        recent_values errors;
        std::uint64_t choices = 0;
        std::uint64_t refusals = 0;
        std::uint64_t statements = 0;
    };

    service_figures& of(const service_name& service);
    /// Updates the gauges of the regions.
    /// @return the same figures as text.
    std::string utilization(const service_name& service, service_figures& it);

    const clock& time_;
    fleet& fleet_;
    const wire_names& names_;
    metrics& metrics_;
    metrics::counter& unreadable_;
    std::map<service_name, std::unique_ptr<service_figures>> services_;
    steady_time logged_at_;
};

} // namespace toucan::edge
