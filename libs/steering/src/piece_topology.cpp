#include "toucan/steering/piece.h"

#include "toucan/base/last_reason.h"
#include "toucan/steering/json_reader.h"

#include <utility>

namespace toucan::steering {

using nlohmann::json;

namespace {

constexpr std::uint64_t max_u32 = std::numeric_limits<std::uint32_t>::max();

} // namespace

std::string encode(const deployment_topology& value)
{
    json regions = json::array();
    for (const auto& it : value.regions) {
        regions.push_back(it.text());
    }
    json domains = json::array();
    for (const auto& it : value.failure_domains) {
        domains.push_back(
            {{"name", it.name.text()}, {"region", it.region.text()}, {"entry_vms", it.entry_vms}});
    }
    json links = json::array();
    for (const auto& it : value.links) {
        links.push_back({{"first", it.first.text()},
                         {"second", it.second.text()},
                         {"mbit_per_s", it.mbit_per_s},
                         {"one_way_delay_ms", std::uint64_t(it.one_way_delay.count())}});
    }
    return dump_json({{"regions", std::move(regions)},
                      {"failure_domains", std::move(domains)},
                      {"links", std::move(links)}});
}

std::optional<deployment_topology> decode_topology(std::string_view text)
{
    const auto parsed = parse_json(text);
    if (!parsed) {
        return fail("the places piece is not valid JSON");
    }
    deployment_topology value;
    json_reader reader(*parsed);
    bool valid = true;
    for (const auto& it : reader.array("regions")) {
        valid = valid && it.is_string();
        if (valid) {
            value.regions.emplace_back(it.get<std::string>());
        }
    }
    for (const auto& it : reader.array("failure_domains")) {
        json_reader fields(it);
        failure_domain domain;
        domain.name = failure_domain_name(fields.text("name"));
        domain.region = region_name(fields.text("region"));
        domain.entry_vms = static_cast<std::uint32_t>(fields.integer("entry_vms", max_u32));
        valid = valid && fields.complete();
        value.failure_domains.push_back(std::move(domain));
    }
    for (const auto& it : reader.array("links")) {
        json_reader fields(it);
        link entry;
        entry.first = region_name(fields.text("first"));
        entry.second = region_name(fields.text("second"));
        entry.mbit_per_s = static_cast<std::uint32_t>(fields.integer("mbit_per_s", max_u32));
        entry.one_way_delay =
            std::chrono::milliseconds(fields.integer("one_way_delay_ms", max_u32));
        valid = valid && fields.complete();
        value.links.push_back(std::move(entry));
    }
    if (!valid || !reader.complete()) {
        return fail("the places piece has missing, unknown or invalid members");
    }
    return value;
}

} // namespace toucan::steering
