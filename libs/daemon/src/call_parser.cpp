#include "call_parser.h"

#include "client_block_text.h"
#include "header_names.h"

#include "toucan/base/last_reason.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <chrono>
#include <string>
#include <string_view>

namespace toucan::daemon {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view call_prefix = "/v1/call/";
constexpr milliseconds max_deadline{600'000};
constexpr std::size_t max_operation_key_bytes = 256;

std::optional<milliseconds> parse_deadline(const std::string& text)
{
    long value = 0;
    const auto* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, value);
    if (ec != std::errc() || end != last || value < 1 || value > max_deadline.count()) {
        return fail(fmt::format("{}: '{}' is not a time budget (1 to {} ms)", deadline_header, text,
                                max_deadline.count()));
    }
    return milliseconds(value);
}

/// Returns false for headers that are hop-by-hop, are regenerated for the next hop, or are added by
/// cpp-httplib for its own use.
bool is_forwarded(const std::string& name)
{
    constexpr std::array<std::string_view, 17> dropped = {"connection",
                                                          "keep-alive",
                                                          "proxy-authenticate",
                                                          "proxy-authorization",
                                                          "te",
                                                          "trailer",
                                                          "transfer-encoding",
                                                          "upgrade",
                                                          "host",
                                                          "expect",
                                                          "content-length",
                                                          "remote_addr",
                                                          "remote_port",
                                                          "local_addr",
                                                          "local_port",
                                                          "toucan-deadline-ms",
                                                          "accept-encoding"};
    std::string lower = name;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    return std::find(dropped.begin(), dropped.end(), lower) == dropped.end();
}

} // namespace

std::optional<parsed_call> parse_call(const httplib::Request& request,
                                      const steering::configuration& config)
{
    const std::string_view target = request.target;
    const auto service_and_path = target.substr(std::min(call_prefix.size(), target.size()));
    const auto slash = std::min(service_and_path.find_first_of("/?"), service_and_path.size());
    parsed_call call;
    call.forward.service = service_name(std::string(service_and_path.substr(0, slash)));
    const auto* service = config.find(call.forward.service);
    if (service == nullptr) {
        return fail(fmt::format("service '{}' is not in configuration {}",
                                call.forward.service.text(), config.version));
    }

    auto& outgoing = call.forward.request;
    outgoing.method = request.method;
    outgoing.path = std::string(service_and_path.substr(slash));
    if (outgoing.path.empty() || outgoing.path.front() != '/') {
        outgoing.path = '/' + outgoing.path;
    }
    outgoing.body = request.body;
    for (const auto& [name, value] : request.headers) {
        if (is_forwarded(name)) {
            outgoing.headers.push_back({name, value});
        }
    }

    call.forward.time_left = service->default_deadline;
    if (request.has_header(deadline_header)) {
        const auto deadline = parse_deadline(request.get_header_value(deadline_header));
        if (!deadline) {
            return std::nullopt;
        }
        call.forward.time_left = *deadline;
    }

    call.forward.client_block = request.has_header(client_block_header)
                                    ? request.get_header_value(client_block_header)
                                    : request.remote_addr + "/32";
    const auto ip = parse_client_block(call.forward.client_block);
    if (!ip) {
        return std::nullopt;
    }
    if (const auto* domain = config.blocks.find(*ip)) {
        if (const auto* failure_domain = config.topology.find(*domain)) {
            call.forward.client_region = failure_domain->region;
        }
    }

    const auto path = std::string_view(outgoing.path).substr(0, outgoing.path.find('?'));
    call.idempotent = service->is_idempotent(outgoing.method, path);
    call.forward.operation_key = request.get_header_value(operation_key_header);
    if (!call.idempotent && call.forward.operation_key.empty()) {
        return fail(
            fmt::format("{} {} is not idempotent and needs the header {}: a key_prefix from a "
                        "look-up, a dot and a number, or c1-<unix ms>-<text>",
                        outgoing.method, path, operation_key_header));
    }
    if (call.forward.operation_key.size() > max_operation_key_bytes) {
        return fail(fmt::format("{} is longer than {} bytes", operation_key_header,
                                max_operation_key_bytes));
    }
    return call;
}

} // namespace toucan::daemon
