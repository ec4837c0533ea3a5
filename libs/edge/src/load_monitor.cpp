#include "load_monitor.h"

#include "event_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace toucan::edge {

namespace {

constexpr milliseconds log_interval{10'000};
/// Values kept per interval and service; a daemon with more of them keeps the last ones.
constexpr std::size_t max_values = 2048;

std::shared_ptr<std::atomic<double>> make_gauge(metrics& all, const std::string& name)
{
    auto value = std::make_shared<std::atomic<double>>(0.0);
    all.gauge(name, [value] { return value->load(); });
    return value;
}

/// @param values sorted; not empty.
double quantile_of(const std::vector<double>& values, double share)
{
    const auto rank = std::ceil(share * static_cast<double>(values.size()));
    return values[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

} // namespace

void load_monitor::recent_values::add(double value)
{
    if (values_.size() < max_values) {
        values_.push_back(value);
        return;
    }
    values_[next_] = value;
    next_ = (next_ + 1) % max_values;
}

double load_monitor::recent_values::quantile(double share) const
{
    if (values_.empty()) {
        return 0;
    }
    auto sorted = values_;
    std::sort(sorted.begin(), sorted.end());
    return quantile_of(sorted, share);
}

void load_monitor::recent_values::clear()
{
    values_.clear();
    next_ = 0;
}

load_monitor::service_figures::service_figures(const service_name& service, metrics& all)
    : refusals_total(all.count(
          fmt::format("toucan_edge_server_refusals_total{{service=\"{}\"}}", service.text()))),
      age_ms(
          all.histogram("toucan_edge_load_age_ms", fmt::format("service=\"{}\"", service.text()))),
      error_median(
          make_gauge(all, fmt::format("toucan_edge_load_error_slots{{service=\"{}\",quantile="
                                      "\"0.5\"}}",
                                      service.text()))),
      error_p90(make_gauge(all, fmt::format("toucan_edge_load_error_slots{{service=\"{}\",quantile="
                                            "\"0.9\"}}",
                                            service.text())))
{
}

load_monitor::load_monitor(const clock& time, fleet& servers, const wire_names& names, metrics& all)
    : time_(time), fleet_(servers), names_(names), metrics_(all),
      unreadable_(all.count("toucan_edge_load_header_unreadable_total")), logged_at_(time.now())
{
}

load_monitor::service_figures& load_monitor::of(const service_name& service)
{
    auto& it = services_[service];
    if (!it) {
        it = std::make_unique<service_figures>(service, metrics_);
    }
    return *it;
}

void load_monitor::record_choice(const backend_server& it)
{
    auto& figures = of(it.record.service);
    ++figures.choices;
    if (const auto age = fleet_.load_age(it)) {
        figures.age_ms->add(*age);
        figures.ages_ms.add(std::chrono::duration<double, std::milli>(*age).count());
    }
}

void load_monitor::record_refusal(const backend_server& it)
{
    auto& figures = of(it.record.service);
    ++figures.refusals;
    ++figures.refusals_total;
}

void load_monitor::record_error(const backend_server& it, double slots)
{
    auto& figures = of(it.record.service);
    ++figures.statements;
    figures.errors.add(slots);
}

void load_monitor::record_notice(const server_notice& it)
{
    if (std::find(it.unreadable.begin(), it.unreadable.end(), names_.load) != it.unreadable.end()) {
        ++unreadable_;
    }
}

void load_monitor::sample(const service_name& service)
{
    auto& figures = of(service);
    const auto now = time_.now();
    for (const auto& it : fleet_.of(service)) {
        if (!fleet_.available(*it, now)) {
            continue;
        }
        auto& use = figures.servers[it->key];
        use.region = it->region;
        use.sum += fleet_.load(*it) / std::max<std::uint32_t>(it->record.slots, 1);
        ++use.samples;
    }
}

std::string load_monitor::utilization(const service_name& service, service_figures& it)
{
    std::map<region_name, std::vector<double>> by_region;
    for (const auto& [key, use] : it.servers) {
        by_region[use.region].push_back(use.sum / use.samples);
    }
    std::string text;
    for (auto& [region, values] : by_region) {
        std::sort(values.begin(), values.end());
        double sum = 0;
        for (const double value : values) {
            sum += value;
        }
        const double mean = sum / static_cast<double>(values.size());
        const double median = quantile_of(values, 0.5);
        const double p90 = quantile_of(values, 0.9);
        const double max = values.back();
        const double max_over_mean = mean > 0 ? max / mean : 0;
        auto& gauges = it.regions[region];
        if (!gauges.median) {
            const auto labels =
                fmt::format("service=\"{}\",region=\"{}\"", service.text(), region.text());
            const auto of_quantile = [&](const char* quantile) {
                return make_gauge(
                    metrics_, fmt::format("toucan_edge_server_utilization{{{},quantile=\"{}\"}}",
                                          labels, quantile));
            };
            gauges = {of_quantile("0.5"), of_quantile("0.9"), of_quantile("1"),
                      make_gauge(metrics_,
                                 fmt::format("toucan_edge_server_utilization_max_over_mean{{{}}}",
                                             labels))};
        }
        *gauges.median = median;
        *gauges.p90 = p90;
        *gauges.max = max;
        *gauges.max_over_mean = max_over_mean;
        text +=
            fmt::format("{}{}:p50={:.2f},p90={:.2f},max={:.2f},max_mean={:.2f}",
                        text.empty() ? "" : ";", region.text(), median, p90, max, max_over_mean);
    }
    return text;
}

void load_monitor::log_when_due()
{
    const auto now = time_.now();
    if (now - logged_at_ < log_interval) {
        return;
    }
    logged_at_ = now;
    for (auto& [service, figures] : services_) {
        auto& it = *figures;
        const auto regions = utilization(service, it);
        const double error_median = it.errors.quantile(0.5);
        const double error_p90 = it.errors.quantile(0.9);
        *it.error_median = error_median;
        *it.error_p90 = error_p90;
        if (it.choices > 0) {
            log_event("load_balance",
                      "service={} choices={} refusals={} age_ms_p50={:.0f} age_ms_p90={:.0f} "
                      "statements={} error_slots_p50={:.2f} error_slots_p90={:.2f} "
                      "utilization=\"{}\"",
                      service.text(), it.choices, it.refusals, it.ages_ms.quantile(0.5),
                      it.ages_ms.quantile(0.9), it.statements, error_median, error_p90, regions);
        }
        it.servers.clear();
        it.ages_ms.clear();
        it.errors.clear();
        it.choices = 0;
        it.refusals = 0;
        it.statements = 0;
    }
}

} // namespace toucan::edge
