#include "read_service.h"

#include "toucan/base/last_reason.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace toucan::steering {

namespace {

constexpr limits<std::int64_t> deadline_limits{1, 600'000};
constexpr limits<double> rate_limits{0, 10'000'000};
constexpr limits<double> headroom_limits{0.01, 1};
constexpr limits<double> share_limits{0, 1};
constexpr limits<std::int64_t> interval_limits{1, 3600};
constexpr limits<std::int64_t> slot_limits{1, 100'000};
constexpr limits<std::int64_t> connection_limits{1, 1'000'000};
constexpr const char* domain_rule = "the name of a [[failure_domain]] in places.toml";
constexpr const char* address_rule = "an IPv4 address with a port, a.b.c.d:port";
constexpr const char* method_rule = "1 to 16 capital letters";
constexpr const char* path_rule = "a path that begins with '/', without '?', '#' and spaces";

bool is_method(const std::string& text)
{
    constexpr std::size_t max_length = 16;
    return !text.empty() && text.size() <= max_length &&
           std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool is_path(const std::string& text)
{
    return !text.empty() && text.front() == '/' && text.find_first_of("?# ") == std::string::npos;
}

class service_reader {
public:
    service_reader(const std::string& file, const deployment_topology* topology,
                   std::vector<steering_error>& errors)
        : file_(file), topology_(topology), errors_(errors)
    {
    }

    service read(const toml::table& root)
    {
        toml_fields fields(root, file_, errors_);
        const auto* table = fields.table("service");
        if (table != nullptr) {
            read_table(*table);
        }
        else if (root.get("service") == nullptr) {
            fields.add_error("service", "there is no service", "a table headed [service]");
        }
        fields.report_unknown_keys();
        return std::move(value_);
    }

private:
    void read_table(const toml::table& table)
    {
        toml_fields fields(table, file_, errors_);
        value_.name = service_name(fields.name("name"));
        value_.goal = fields.choice("objective", {"latency", "headroom"}) == 0
                          ? objective::latency
                          : objective::headroom;
        value_.priority = fields.choice("class", {"urgent", "deferrable"}) == 0
                              ? request_class::urgent
                              : request_class::deferrable;
        value_.default_deadline = std::chrono::milliseconds(
            fields.integer("deadline_ms", deadline_limits, value_.default_deadline.count()));
        value_.rate = fields.number("rate", rate_limits);
        value_.headroom = fields.number("headroom", headroom_limits, value_.headroom);
        value_.retry_share = fields.number("retry_share", share_limits, value_.retry_share);
        if (const auto* shift = fields.table("shift_cap"); shift != nullptr) {
            toml_fields cap(*shift, file_, errors_);
            value_.shift.share = cap.number("share", share_limits);
            value_.shift.interval =
                std::chrono::seconds(cap.integer("interval_s", interval_limits));
            cap.report_unknown_keys();
        }
        for (const auto* it : fields.tables("operation")) {
            read_operation(*it);
        }
        for (const auto* it : fields.tables("upstream")) {
            read_upstream(*it);
        }
        if (table.get("upstream") == nullptr) {
            fields.add_error("upstream", "there is no upstream",
                             "at least one [[service.upstream]]");
        }
        fields.report_unknown_keys();
    }

    void read_operation(const toml::table& table)
    {
        toml_fields fields(table, file_, errors_);
        operation_rule rule;
        const auto before = errors_.size();
        rule.method = fields.text("method", method_rule);
        rule.path_prefix = fields.text("path", path_rule);
        rule.idempotent = fields.boolean("idempotent");
        const bool valid = errors_.size() == before;
        fields.report_unknown_keys();
        if (!valid) {
            return;
        }
        if (!is_method(rule.method)) {
            fields.add_error("method", fmt::format("method is '{}'", rule.method), method_rule);
        }
        if (!is_path(rule.path_prefix)) {
            fields.add_error("path", fmt::format("path is '{}'", rule.path_prefix), path_rule);
        }
        for (const auto& it : value_.operations) {
            if (it.method == rule.method && it.path_prefix == rule.path_prefix) {
                fields.add_error_at(
                    fields.line(),
                    fmt::format("the operation {} {} is defined twice", it.method, it.path_prefix),
                    "each method and path once");
            }
        }
        value_.operations.push_back(std::move(rule));
    }

    void read_upstream(const toml::table& table)
    {
        toml_fields fields(table, file_, errors_);
        backend_server server;
        server.name = backend_server_name(fields.name("name"));
        const auto before = errors_.size();
        const auto address = fields.text("address", address_rule);
        if (const auto parsed = vm_address::parse(address); parsed) {
            server.address = *parsed;
        }
        else if (errors_.size() == before) {
            fields.add_error("address", last_reason(), address_rule);
        }
        server.failure_domain = failure_domain_name(fields.text("failure_domain", domain_rule));
        server.slots = static_cast<std::uint32_t>(fields.integer("slots", slot_limits));
        server.connections =
            static_cast<std::uint32_t>(fields.integer("connections", connection_limits));
        server.leaving = fields.boolean("leaving", false);
        fields.report_unknown_keys();
        if (topology_ != nullptr && !server.failure_domain.empty() &&
            topology_->find(server.failure_domain) == nullptr) {
            fields.add_error(
                "failure_domain",
                fmt::format("there is no failure domain {}", server.failure_domain.text()),
                domain_rule);
        }
        for (const auto& it : value_.upstreams) {
            if (!server.name.empty() && it.name == server.name) {
                fields.add_error(
                    "name", fmt::format("the upstream {} is defined twice", server.name.text()),
                    "each name once");
            }
            if (server.address != vm_address() && it.address == server.address) {
                fields.add_error(
                    "address",
                    fmt::format("the address {} is already used by {}", address, it.name.text()),
                    "each address once in a service");
            }
        }
        value_.upstreams.push_back(std::move(server));
    }

    const std::string& file_;
    const deployment_topology* topology_;
    std::vector<steering_error>& errors_;
    service value_;
};

} // namespace

service read_service(const toml::table& root, const std::string& file,
                     const deployment_topology* topology, std::vector<steering_error>& errors)
{
    return service_reader(file, topology, errors).read(root);
}

} // namespace toucan::steering
