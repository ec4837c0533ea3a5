#include "toucan/edge/settings.h"

#include "toucan/base/last_reason.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <cmath>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace toucan::edge {

namespace {

/// Reads fields of one TOML section. Throws std::invalid_argument with the name of a field that is
/// missing or invalid.
class field_reader {
public:
    field_reader(const toml::table& root, std::string section)
        : table_(root[section].as_table()), section_(std::move(section))
    {
    }

    [[nodiscard]] std::string text(const std::string& name) const
    {
        const auto value = node(name).value<std::string>();
        if (!value || value->empty()) {
            throw std::invalid_argument(
                fmt::format("{}.{} must be a non-empty string", section_, name));
        }
        return *value;
    }

    [[nodiscard]] vm_address address(const std::string& name) const
    {
        const auto parsed = vm_address::parse(text(name));
        if (!parsed) {
            throw std::invalid_argument(
                fmt::format("{}.{} must be an address of the form a.b.c.d:port", section_, name));
        }
        return *parsed;
    }

    /// @param fallback returned if the field is missing.
    [[nodiscard]] double number(const std::string& name, double fallback) const
    {
        const auto it = node(name);
        if (!it) {
            return fallback;
        }
        const auto value = it.value<double>();
        if (!value || !std::isfinite(*value) || *value < 0) {
            throw std::invalid_argument(
                fmt::format("{}.{} must be a finite number, 0 or more", section_, name));
        }
        return *value;
    }

    /// @param fallback returned if the field is missing.
    [[nodiscard]] bool flag(const std::string& name, bool fallback) const
    {
        const auto it = node(name);
        if (!it) {
            return fallback;
        }
        const auto value = it.value_exact<bool>();
        if (!value) {
            throw std::invalid_argument(fmt::format("{}.{} must be true or false", section_, name));
        }
        return *value;
    }

    /// Reads a field in seconds.
    [[nodiscard]] milliseconds duration(const std::string& name, milliseconds fallback) const
    {
        const double seconds = number(name, static_cast<double>(fallback.count()) / 1e3);
        return milliseconds(static_cast<std::int64_t>(seconds * 1e3));
    }

private:
    [[nodiscard]] toml::node_view<const toml::node> node(const std::string& name) const
    {
        return table_ == nullptr ? toml::node_view<const toml::node>{} : (*table_)[name];
    }

    const toml::table* table_;
    std::string section_;
};

bounds read_bounds(const field_reader& in)
{
    bounds it;
    it.stop_grace = in.duration("stop_grace_s", it.stop_grace);
    it.max_directory_lifetime = in.duration("max_directory_lifetime_s", it.max_directory_lifetime);
    it.retry_ratio = in.number("retry_ratio", it.retry_ratio);
    it.retry_extra = in.number("retry_extra", it.retry_extra);
    it.retry_window = in.duration("retry_window_s", it.retry_window);
    it.cold_factor = in.number("cold_factor", it.cold_factor);
    it.cold_slack = in.number("cold_slack", it.cold_slack);
    it.max_shift = in.number("max_shift", it.max_shift);
    it.strict_revocation = in.flag("strict_revocation", it.strict_revocation);
    it.revocation_time = in.duration("revocation_s", it.revocation_time);
    it.quota_window = in.duration("quota_window_s", it.quota_window);
    it.quota_overage = in.number("quota_overage", it.quota_overage);
    it.quota_slack = in.number("quota_slack", it.quota_slack);
    return it;
}

settings read_sections(const toml::table& root)
{
    settings it;
    const field_reader daemon(root, "daemon");
    it.name = daemon.text("name");
    it.failure_domain = failure_domain_name(daemon.text("failure_domain"));
    it.region = region_name(daemon.text("region"));
    it.capacity = daemon.number("capacity_cores", it.capacity);
    it.memory_mb = daemon.number("memory_mb", it.memory_mb);
    it.max_descriptors = static_cast<std::size_t>(
        daemon.number("max_descriptors", static_cast<double>(it.max_descriptors)));
    const field_reader listen(root, "listen");
    it.callers = listen.address("callers");
    it.readiness = listen.address("readiness");
    it.directory = listen.address("directory");
    it.peers = listen.address("peers");
    it.metrics = listen.address("metrics");
    it.store = field_reader(root, "store").address("address");
    it.limits = read_bounds(field_reader(root, "bounds"));
    if (const auto* regions = root["regions"].as_table(); regions != nullptr) {
        for (const auto& [domain, region] : *regions) {
            it.regions[failure_domain_name(std::string(domain.str()))] =
                region_name(region.value_or(std::string()));
        }
    }
    it.regions[it.failure_domain] = it.region;
    return it;
}

} // namespace

std::optional<settings> parse_settings(std::string_view text)
{
    try {
        return read_sections(toml::parse(text));
    }
    catch (const toml::parse_error& ex) {
        return fail(fmt::format("settings, line {}: {}", ex.source().begin.line, ex.description()));
    }
    catch (const std::invalid_argument& ex) {
        return fail(fmt::format("settings: {}", ex.what()));
    }
}

std::optional<settings> read_settings_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return fail(fmt::format("cannot read settings file {}", path));
    }
    return parse_settings(
        std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()));
}

} // namespace toucan::edge
