#include "toucan/platform/vm_list_text.h"

#include "toucan/base/last_reason.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace toucan::platform {

using nlohmann::json;

namespace {

constexpr const char* entry_text = "entry";
constexpr const char* backend_text = "backend";

std::optional<std::string> text_of(const json& object, const char* key)
{
    const auto it = object.find(key);
    if (it == object.end() || !it->is_string()) {
        return std::nullopt;
    }
    return it->get<std::string>();
}

std::optional<vm_entry> decode_entry(const json& object)
{
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto role = text_of(object, "role");
    const auto address = text_of(object, "address");
    const auto domain = text_of(object, "failure_domain");
    const auto leaving = object.find("leaving");
    if (!role || !address || !domain || leaving == object.end() || !leaving->is_boolean() ||
        (*role != entry_text && *role != backend_text)) {
        return std::nullopt;
    }
    const auto parsed = vm_address::parse(*address);
    if (!parsed) {
        return std::nullopt;
    }
    return vm_entry{*role == entry_text ? vm_role::entry : vm_role::backend, *parsed,
                    failure_domain_name(*domain), leaving->get<bool>()};
}

} // namespace

std::optional<std::vector<vm_entry>> decode_vm_list(std::string_view text)
{
    const auto parsed = json::parse(text, nullptr, false);
    if (!parsed.is_array()) {
        return fail("the VM list is not a JSON array");
    }
    std::vector<vm_entry> out;
    for (const auto& it : parsed) {
        auto entry = decode_entry(it);
        if (!entry) {
            return fail("the VM list has a malformed entry");
        }
        out.push_back(std::move(*entry));
    }
    return out;
}

std::string encode_vm_list(const std::vector<vm_entry>& entries)
{
    json out = json::array();
    for (const auto& it : entries) {
        out.push_back({{"role", it.role == vm_role::entry ? entry_text : backend_text},
                       {"address", it.address.to_string()},
                       {"failure_domain", it.failure_domain.text()},
                       {"leaving", it.leaving}});
    }
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace toucan::platform
