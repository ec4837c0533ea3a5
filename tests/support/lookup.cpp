#include "support/lookup.h"

#include "support/http.h"

namespace toucan::test {

std::optional<lookup_response> send_lookup(const vm_address& entry_vm, const std::string& service,
                                           const std::string& block)
{
    const auto it = get_json(entry_vm, "/v1/lookup?service=" + service + "&block=" + block);
    if (!it) {
        return std::nullopt;
    }
    try {
        lookup_response out;
        for (const auto& text : it->at("entry_vms")) {
            const auto address = vm_address::parse(text.get<std::string>());
            if (!address) {
                return std::nullopt;
            }
            out.entry_vms.push_back(*address);
        }
        out.lifetime = std::chrono::milliseconds(it->at("lifetime_ms").get<std::int64_t>());
        out.version = it->at("version").get<std::uint64_t>();
        out.key_prefix = it->value("key_prefix", std::string());
        return out;
    }
    catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace toucan::test
