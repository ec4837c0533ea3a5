#include "toucan/steering/piece.h"

#include "toucan/base/last_reason.h"
#include "toucan/steering/json_reader.h"

#include <utility>

namespace toucan::steering {

using nlohmann::json;

namespace {

constexpr std::uint64_t max_u32 = std::numeric_limits<std::uint32_t>::max();
constexpr const char* latency_text = "latency";
constexpr const char* headroom_text = "headroom";
constexpr const char* urgent_text = "urgent";
constexpr const char* deferrable_text = "deferrable";

json to_json(const backend_server& value)
{
    return {{"name", value.name.text()},
            {"address", value.address.to_string()},
            {"failure_domain", value.failure_domain.text()},
            {"slots", value.slots},
            {"connections", value.connections},
            {"leaving", value.leaving}};
}

std::optional<backend_server> to_backend_server(const json& value)
{
    json_reader fields(value);
    backend_server server;
    server.name = backend_server_name(fields.text("name"));
    const auto address = vm_address::parse(fields.text("address"));
    server.failure_domain = failure_domain_name(fields.text("failure_domain"));
    server.slots = static_cast<std::uint32_t>(fields.integer("slots", max_u32));
    server.connections = static_cast<std::uint32_t>(fields.integer("connections", max_u32));
    server.leaving = fields.boolean("leaving");
    if (!address || !fields.complete()) {
        return std::nullopt;
    }
    server.address = *address;
    return server;
}

} // namespace

std::string encode(const service& value)
{
    json operations = json::array();
    for (const auto& it : value.operations) {
        operations.push_back(
            {{"method", it.method}, {"path", it.path_prefix}, {"idempotent", it.idempotent}});
    }
    json upstreams = json::array();
    for (const auto& it : value.upstreams) {
        upstreams.push_back(to_json(it));
    }
    return dump_json(
        {{"name", value.name.text()},
         {"objective", value.goal == objective::latency ? latency_text : headroom_text},
         {"class", value.priority == request_class::urgent ? urgent_text : deferrable_text},
         {"deadline_ms", std::uint64_t(value.default_deadline.count())},
         {"rate", value.rate},
         {"headroom", value.headroom},
         {"retry_share", value.retry_share},
         {"shift_cap",
          {{"share", value.shift.share},
           {"interval_s", std::uint64_t(value.shift.interval.count())}}},
         {"operations", std::move(operations)},
         {"upstreams", std::move(upstreams)}});
}

std::optional<service> decode_service(std::string_view text)
{
    const auto parsed = parse_json(text);
    if (!parsed) {
        return fail("the service piece is not valid JSON");
    }
    service value;
    json_reader reader(*parsed);
    value.name = service_name(reader.text("name"));
    const auto goal = reader.text("objective");
    const auto priority = reader.text("class");
    bool valid = (goal == latency_text || goal == headroom_text) &&
                 (priority == urgent_text || priority == deferrable_text);
    value.goal = goal == latency_text ? objective::latency : objective::headroom;
    value.priority = priority == urgent_text ? request_class::urgent : request_class::deferrable;
    value.default_deadline = std::chrono::milliseconds(reader.integer("deadline_ms", max_u32));
    value.rate = reader.number("rate");
    value.headroom = reader.number("headroom");
    value.retry_share = reader.number("retry_share");
    json_reader shift(reader.member("shift_cap"));
    value.shift.share = shift.number("share");
    value.shift.interval = std::chrono::seconds(shift.integer("interval_s", max_u32));
    valid = valid && shift.complete();
    for (const auto& it : reader.array("operations")) {
        json_reader fields(it);
        operation_rule rule;
        rule.method = fields.text("method");
        rule.path_prefix = fields.text("path");
        rule.idempotent = fields.boolean("idempotent");
        valid = valid && fields.complete();
        value.operations.push_back(std::move(rule));
    }
    for (const auto& it : reader.array("upstreams")) {
        auto server = to_backend_server(it);
        valid = valid && server;
        if (server) {
            value.upstreams.push_back(std::move(*server));
        }
    }
    if (!valid || !reader.complete()) {
        return fail("the service piece has missing, unknown or invalid members");
    }
    return value;
}

} // namespace toucan::steering
