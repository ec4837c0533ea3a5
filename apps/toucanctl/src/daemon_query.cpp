#include "daemon_query.h"

#include "toucan/base/last_reason.h"

#include <fmt/format.h>
#include <httplib.h>

#include <chrono>

namespace toucan::ctl {

std::optional<nlohmann::json> query_daemon(const vm_address& address, const std::string& path)
{
    constexpr std::chrono::seconds timeout{3};
    constexpr int status_ok = 200;
    httplib::Client client(address.ip_text(), address.port());
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    const auto result = client.Get(path);
    if (!result) {
        return fail(fmt::format("no HTTP response ({})", httplib::to_string(result.error())));
    }
    if (result->status != status_ok) {
        return fail(fmt::format("status {}: {}", result->status, result->body));
    }
    auto value = nlohmann::json::parse(result->body, nullptr, false);
    if (value.is_discarded()) {
        return fail("the response is not valid JSON");
    }
    return value;
}

std::optional<std::uint64_t> query_version(const vm_address& address)
{
    const auto state = query_daemon(address, "/state");
    if (!state) {
        return std::nullopt;
    }
    if (state->is_object()) {
        const auto configuration = state->find("configuration");
        if (configuration != state->end() && configuration->is_object()) {
            const auto version = configuration->find("version");
            if (version != configuration->end() && version->is_number_unsigned()) {
                return version->get<std::uint64_t>();
            }
        }
    }
    return fail("the response has no unsigned integer configuration.version");
}

std::optional<std::vector<vm_address>> parse_addresses(const std::vector<std::string>& texts)
{
    std::vector<vm_address> out;
    for (const auto& it : texts) {
        const auto address = vm_address::parse(it);
        if (!address) {
            return std::nullopt;
        }
        out.push_back(*address);
    }
    if (out.empty()) {
        return fail("--daemons is missing (a.b.c.d:port,...)");
    }
    return out;
}

void print_json(const nlohmann::json& value, bool compact)
{
    constexpr int indent = 2;
    fmt::print("{}\n", value.dump(compact ? -1 : indent, ' ', false,
                                  nlohmann::json::error_handler_t::replace));
}

} // namespace toucan::ctl
