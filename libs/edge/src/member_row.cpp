#include "toucan/edge/member_row.h"

#include "toucan/base/last_reason.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace toucan::edge {

namespace {

constexpr char key_separator = '/';

} // namespace

std::string member_key_prefix(const failure_domain_name& domain)
{
    return domain.text() + key_separator;
}

std::string member_key(const failure_domain_name& domain, const std::string& name)
{
    return member_key_prefix(domain) + name;
}

std::string member_name(std::string_view key)
{
    // Without a separator, `rfind` returns the greatest value, and the name starts at 0.
    return std::string(key.substr(key.rfind(key_separator) + 1));
}

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
    const auto separator = key.rfind(key_separator);
    if (separator == std::string_view::npos || separator + 1 == key.size()) {
        return fail(fmt::format("invalid key of a member row: {}", key));
    }
    try {
        const auto row = nlohmann::json::parse(value);
        const auto callers = vm_address::parse(row.at("callers").get<std::string>());
        const auto peers = vm_address::parse(row.at("peers").get<std::string>());
        if (!callers || !peers) {
            return fail(fmt::format("invalid row of member {}: {}", key, last_reason()));
        }
        member_record it;
        it.name = member_name(key);
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
