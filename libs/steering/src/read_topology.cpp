#include "read_topology.h"

#include "toucan/base/last_reason.h"
#include "toucan/steering/cidr.h"

#include <absl/container/flat_hash_map.h>
#include <fmt/format.h>

#include <algorithm>

namespace toucan::steering {

namespace {

constexpr limits<std::int64_t> entry_vm_limits{1, 10'000};
constexpr limits<std::int64_t> mbit_limits{1, 10'000'000};
constexpr limits<std::int64_t> delay_limits{0, 60'000};
constexpr const char* region_rule = "the name of a [[region]]";
constexpr const char* domain_rule = "the name of a [[failure_domain]]";
constexpr const char* between_rule = "the names of two different regions";
constexpr const char* block_rule = "IPv4 blocks a.b.c.d/n without address bits below the prefix";

class topology_reader {
public:
    topology_reader(const std::string& file, deployment_topology& topology,
                    std::vector<client_block>& blocks, std::vector<steering_error>& errors)
        : file_(file), topology_(topology), blocks_(blocks), errors_(errors)
    {
    }

    void read(const toml::table& root)
    {
        toml_fields fields(root, file_, errors_);
        for (const auto* it : fields.tables("region")) {
            read_region(*it);
        }
        for (const auto* it : fields.tables("failure_domain")) {
            read_failure_domain(*it);
        }
        for (const auto* it : fields.tables("link")) {
            read_link(*it);
        }
        for (const auto* it : fields.tables("client_blocks")) {
            read_client_blocks(*it);
        }
        if (topology_.regions.empty() && root.get("region") == nullptr) {
            fields.add_error("region", "there is no region", "at least one [[region]]");
        }
        if (topology_.failure_domains.empty() && root.get("failure_domain") == nullptr) {
            fields.add_error("failure_domain", "there is no failure domain",
                             "at least one [[failure_domain]]");
        }
        fields.report_unknown_keys();
    }

private:
    [[nodiscard]] bool has_region(const region_name& name) const
    {
        return std::find(topology_.regions.begin(), topology_.regions.end(), name) !=
               topology_.regions.end();
    }

    void read_region(const toml::table& table)
    {
        toml_fields fields(table, file_, errors_);
        const region_name name(fields.name("name"));
        fields.report_unknown_keys();
        if (name.empty()) {
            return;
        }
        if (has_region(name)) {
            fields.add_error("name", fmt::format("the region {} is defined twice", name.text()),
                             "each name once");
            return;
        }
        topology_.regions.push_back(name);
    }

    void read_failure_domain(const toml::table& table)
    {
        toml_fields fields(table, file_, errors_);
        failure_domain domain;
        domain.name = failure_domain_name(fields.name("name"));
        domain.region = region_name(fields.text("region", region_rule));
        domain.entry_vms = static_cast<std::uint32_t>(fields.integer("entry_vms", entry_vm_limits));
        fields.report_unknown_keys();
        if (!domain.region.empty() && !has_region(domain.region)) {
            fields.add_error("region", fmt::format("there is no region {}", domain.region.text()),
                             region_rule);
        }
        if (domain.name.empty()) {
            return;
        }
        if (topology_.find(domain.name) != nullptr) {
            fields.add_error(
                "name", fmt::format("the failure domain {} is defined twice", domain.name.text()),
                "each name once");
            return;
        }
        topology_.failure_domains.push_back(domain);
    }

    void read_link(const toml::table& table)
    {
        toml_fields fields(table, file_, errors_);
        const auto between = fields.strings("between", between_rule);
        link value;
        value.mbit_per_s = static_cast<std::uint32_t>(fields.integer("mbit_per_s", mbit_limits));
        value.one_way_delay =
            std::chrono::milliseconds(fields.integer("one_way_delay_ms", delay_limits));
        fields.report_unknown_keys();
        if (table.get("between") == nullptr) {
            return;
        }
        for (const auto& it : between) {
            if (!has_region(region_name(it.text))) {
                fields.add_error_at(it.line, fmt::format("there is no region {}", it.text),
                                    between_rule);
            }
        }
        if (between.size() != 2 || between[0].text == between[1].text) {
            fields.add_error("between", "between does not name two different regions",
                             between_rule);
            return;
        }
        value.first = region_name(between[0].text);
        value.second = region_name(between[1].text);
        if (topology_.find_link(value.first, value.second) != nullptr) {
            fields.add_error("between",
                             fmt::format("the link between {} and {} is defined twice",
                                         value.first.text(), value.second.text()),
                             "each pair of regions once");
            return;
        }
        topology_.links.push_back(value);
    }

    void read_client_blocks(const toml::table& table)
    {
        constexpr unsigned length_bits = 8;
        toml_fields fields(table, file_, errors_);
        const failure_domain_name domain(fields.text("failure_domain", domain_rule));
        if (!domain.empty() && topology_.find(domain) == nullptr) {
            fields.add_error("failure_domain",
                             fmt::format("there is no failure domain {}", domain.text()),
                             domain_rule);
        }
        for (const auto& it : fields.strings("blocks", block_rule)) {
            auto block = parse_cidr(it.text);
            if (!block) {
                fields.add_error_at(it.line, last_reason(), block_rule);
                continue;
            }
            const auto key =
                (std::uint64_t{block->ip} << length_bits) | std::uint64_t{block->prefix_length};
            const auto [seen, added] = lines_.emplace(key, it.line);
            if (!added) {
                fields.add_error_at(
                    it.line,
                    fmt::format("the client block {} is already on line {}", it.text, seen->second),
                    "each block once; blocks may nest");
                continue;
            }
            block->failure_domain = domain;
            blocks_.push_back(*block);
        }
        fields.report_unknown_keys();
    }

    const std::string& file_;
    deployment_topology& topology_;
    std::vector<client_block>& blocks_;
    std::vector<steering_error>& errors_;
    /// Line of each block. The key is the address shifted left by 8 bits, plus the prefix length.
    absl::flat_hash_map<std::uint64_t, std::uint32_t> lines_;
};

} // namespace

void read_topology(const toml::table& root, const std::string& file, deployment_topology& topology,
                   std::vector<client_block>& blocks, std::vector<steering_error>& errors)
{
    topology_reader(file, topology, blocks, errors).read(root);
}

} // namespace toucan::steering
