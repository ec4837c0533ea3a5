#include "lookup_handler.h"

#include "client_block_text.h"

#include "toucan/base/last_reason.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace toucan::daemon {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;
/// Entry VMs in an answer: one preferred and two alternatives.
constexpr std::size_t entry_vms_per_answer = 3;

void write_error(httplib::Response& response, int status, const std::string& reason)
{
    response.status = status;
    response.set_content(nlohmann::json{{"error", reason}}.dump() + "\n", "application/json");
}

/// Failure domain that the client address is steered to, or the local one if no client block
/// matches.
failure_domain_name client_domain(const routing_view& view, std::uint32_t ip)
{
    const auto* found = view.config->blocks.find(ip);
    return found != nullptr ? *found : view.local_domain;
}

bool needs_key(const steering::service& service)
{
    // Methods other than GET and HEAD are not idempotent unless a rule says so.
    const auto& rules = service.operations;
    return rules.empty() ||
           std::any_of(rules.begin(), rules.end(), [](const auto& it) { return !it.idempotent; });
}

} // namespace

void answer_lookup(const httplib::Request& request, const routing_view& view,
                   operations::key_issuer& issuer, std::chrono::milliseconds lifetime,
                   httplib::Response& response)
{
    const service_name name(request.get_param_value("service"));
    const auto* service = view.config->find(name);
    if (service == nullptr) {
        write_error(response, status_bad_request,
                    fmt::format("service '{}' is not in configuration {}", name.text(),
                                view.config->version));
        return;
    }
    const auto block =
        request.has_param("block") ? request.get_param_value("block") : request.remote_addr + "/32";
    const auto ip = parse_client_block(block);
    if (!ip) {
        write_error(response, status_bad_request, last_reason());
        return;
    }
    const auto chosen =
        policy::choose_entry_vms(view.config->topology, block, client_domain(view, *ip),
                                 view.entry_candidates, entry_vms_per_answer);
    if (chosen.empty()) {
        write_error(response, status_unavailable, "no entry VM is ready");
        return;
    }
    auto entry_vms = nlohmann::json::array();
    for (const auto& it : chosen) {
        const auto port = view.http_ports.find(it.address);
        if (port != view.http_ports.end()) {
            entry_vms.push_back(it.address.with_port(port->second).to_string());
        }
    }
    nlohmann::json answer = {{"service", name.text()},
                             {"block", block},
                             {"entry_vms", entry_vms},
                             {"lifetime_ms", lifetime.count()},
                             {"version", view.config->version}};
    if (needs_key(*service)) {
        answer["key_prefix"] = issuer.issue().to_string();
    }
    response.set_header("Cache-Control",
                        fmt::format("private, max-age={}", lifetime.count() / 1000));
    response.set_content(answer.dump() + "\n", "application/json");
}

std::vector<rpc::entry_vm> alternative_entry_vms(const routing_view& view, std::string_view block,
                                                 vm_address self)
{
    const auto ip = parse_client_block(block);
    const auto domain = ip ? client_domain(view, *ip) : view.local_domain;
    std::vector<policy::entry_candidate> others = view.entry_candidates;
    std::erase_if(others, [&](const auto& it) { return it.id.address == self; });
    std::vector<rpc::entry_vm> result;
    for (const auto& it : policy::choose_entry_vms(view.config->topology, block, domain, others,
                                                   entry_vms_per_answer)) {
        const auto port = view.http_ports.find(it.address);
        if (port != view.http_ports.end()) {
            result.push_back({it, port->second});
        }
    }
    return result;
}

} // namespace toucan::daemon
