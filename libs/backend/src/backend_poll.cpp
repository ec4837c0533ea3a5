#include "toucan/backend/backend_poll.h"

#include "toucan/backend/config.h"
#include "toucan/base/last_reason.h"

#include <nlohmann/json.hpp>

#include <variant>

namespace toucan::backend {

namespace {

using json = nlohmann::json;

std::optional<json> parse_object(std::string_view body)
{
    auto it = json::parse(body, nullptr, false);
    if (!it.is_object()) {
        return fail("the body of the report is not a JSON object");
    }
    return it;
}

std::optional<std::uint32_t> parse_slot_count(const json& object, const char* name)
{
    const auto it = object.find(name);
    if (it == object.end() || !it->is_number_unsigned() ||
        it->get<std::uint64_t>() > config::max_reported_slots) {
        return fail(std::string(name) + " is missing or not an integer in the allowed range");
    }
    return it->get<std::uint32_t>();
}

std::optional<std::string> get_body(backend_client& client, const char* path, steady_time deadline)
{
    constexpr int status_ok = 200;
    http_request request;
    request.method = "GET";
    request.path = path;
    auto result = client.send(request, deadline);
    if (auto* it = std::get_if<responded>(&result); it != nullptr) {
        // A draining backend server may answer with another status; the report in the body counts.
        if (it->response.status == status_ok || !it->response.body.empty()) {
            return std::move(it->response.body);
        }
    }
    return fail(std::string(path) + " failed or returned an empty error response");
}

} // namespace

std::optional<health_report> parse_health(std::string_view body)
{
    const auto object = parse_object(body);
    if (!object) {
        return std::nullopt;
    }
    const auto state = object->find("state");
    const auto incarnation = object->find("incarnation");
    if (state == object->end() || !state->is_string()) {
        return fail("the state of the health report is missing or not a string");
    }
    health_report it;
    const auto& text = state->get_ref<const std::string&>();
    if (text == "ready") {
        it.state = backend_state::ready;
    }
    else if (text == "starting") {
        it.state = backend_state::starting;
    }
    else if (text == "draining") {
        it.state = backend_state::draining;
    }
    else {
        return fail("the state of the health report is not ready, starting or draining");
    }
    if (incarnation != object->end() && incarnation->is_string()) {
        it.incarnation = incarnation->get<std::string>();
    }
    else if (incarnation != object->end() && incarnation->is_number_unsigned()) {
        it.incarnation = std::to_string(incarnation->get<std::uint64_t>());
    }
    else {
        return fail("the incarnation of the health report is missing or not a string or number");
    }
    return it;
}

std::optional<load_report> parse_load(std::string_view body)
{
    const auto object = parse_object(body);
    if (!object) {
        return std::nullopt;
    }
    const auto in_use = parse_slot_count(*object, "in_use");
    const auto slots = in_use ? parse_slot_count(*object, "slots") : std::nullopt;
    if (!slots) {
        return std::nullopt;
    }
    return load_report{*in_use, *slots};
}

backend_poll poll_backend(backend_client& client, const clock& time, steady_time deadline)
{
    backend_poll it;
    it.requested_at = time.now();
    if (const auto body = get_body(client, "/health", deadline)) {
        it.health = parse_health(*body);
    }
    if (!it.health) {
        it.reason = last_reason();
    }
    if (const auto body = get_body(client, "/load", deadline)) {
        it.load = parse_load(*body);
    }
    if (!it.load) {
        it.reason = last_reason();
    }
    return it;
}

} // namespace toucan::backend
