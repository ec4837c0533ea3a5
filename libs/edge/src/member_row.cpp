#include "toucan/edge/member_row.h"

#include "toucan/base/last_reason.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace toucan::edge {

std::string encode_member(const member_record& it)
{
    const nlohmann::json row = {{"callers", it.callers.to_string()},
                                {"peers", it.peers.to_string()},
                                {"failure_domain", it.failure_domain.text()},
                                {"region", it.region.text()},
                                {"capacity", it.capacity},
                                {"run", it.run},
                                {"leaving", it.state == member_state::leaving}};
    return row.dump();
}

std::optional<member_record> decode_member(std::string_view key, std::string_view value)
{
    try {
        const auto row = nlohmann::json::parse(value);
        const auto callers = vm_address::parse(row.at("callers").get<std::string>());
        const auto peers = vm_address::parse(row.at("peers").get<std::string>());
        if (!callers || !peers) {
            return fail(fmt::format("invalid row of member {}: {}", key, last_reason()));
        }
        member_record it;
        it.name = std::string(key);
        it.callers = *callers;
        it.peers = *peers;
        it.failure_domain = failure_domain_name(row.at("failure_domain").get<std::string>());
        it.region = region_name(row.at("region").get<std::string>());
        it.capacity = row.value("capacity", 0.0);
        it.run = row.at("run").get<std::int64_t>();
        it.state = row.at("leaving").get<bool>() ? member_state::leaving : member_state::ready;
        return it;
    }
    catch (const nlohmann::json::exception& ex) {
        return fail(fmt::format("invalid row of member {}: {}", key, ex.what()));
    }
}

} // namespace toucan::edge
