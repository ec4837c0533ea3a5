#include "daemon_query.h"

#include "toucan/base/blocking_http_client.h"
#include "toucan/base/last_reason.h"

#include <fmt/format.h>

#include <chrono>
#include <variant>

namespace toucan::ctl {

std::optional<nlohmann::json> query_daemon(const vm_address& address, const std::string& path)
{
    constexpr std::chrono::seconds timeout{3};
    constexpr int status_ok = 200;
    blocking_http_client client(address, timeout);
    const auto result = client.call({"GET", path, {}, {}});
    if (const auto* failed = std::get_if<http_call_failed>(&result)) {
        return fail(fmt::format("{} ({})",
                                failed->fault ? "broken HTTP response" : "no HTTP response",
                                failed->reason));
    }
    const auto& response = std::get<http_response>(result);
    if (response.status != status_ok) {
        return fail(fmt::format("status {}: {}", response.status, response.body));
    }
    auto value = nlohmann::json::parse(response.body, nullptr, false);
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
