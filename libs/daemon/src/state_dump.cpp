#include "state_dump.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>

namespace toucan::daemon {

namespace {

const char* state_name(rpc::member_state state)
{
    switch (state) {
    case rpc::member_state::starting:
        return "starting";
    case rpc::member_state::ready:
        return "ready";
    case rpc::member_state::leaving:
        return "leaving";
    }
    return "not known";
}

nlohmann::json age_ms(std::optional<steady_time> at, steady_time now)
{
    if (!at) {
        return nullptr;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *at).count();
}

} // namespace

nlohmann::json dump_members(const membership::member_view& members, steady_time now)
{
    auto member_list = nlohmann::json::array();
    for (const auto& it : members.members) {
        member_list.push_back({{"rpc", it.entry.id.address.to_string()},
                               {"incarnation", it.entry.id.run.to_string()},
                               {"state", state_name(it.entry.state)},
                               {"reachable", it.reachable},
                               {"configuration", it.entry.config_version},
                               {"heard_ms_ago", age_ms(it.last_contact, now)}});
    }
    auto summaries = nlohmann::json::array();
    for (const auto& it : members.summaries) {
        summaries.push_back({{"failure_domain", it.summary->failure_domain.text()},
                             {"region", it.summary->region.text()},
                             {"usable", it.usable},
                             {"entry_vms", it.summary->entry_vms.size()},
                             {"configuration", it.summary->config_version}});
    }
    auto leaving = nlohmann::json::array();
    for (const auto& it : members.leaving) {
        leaving.push_back(it.backend.text());
    }
    return {{"state", state_name(members.self.state)},
            {"members", member_list},
            {"summaries", summaries},
            {"leaving_backend_servers", leaving},
            {"highest_configuration_seen", members.highest_config_version},
            {"is_alone", members.is_alone},
            {"last_sync_ms_ago", age_ms(members.last_sync, now)}};
}

nlohmann::json dump_operations(const operations::operation_table& table,
                               const operations::witness_table& intents,
                               const operations::key_issuer& issuer)
{
    const auto operation_counts = table.read_counts();
    const auto intent_counts = intents.read_counts();
    const auto witness = issuer.witness();
    return {{"records", operation_counts.records},
            {"in_progress", operation_counts.in_progress},
            {"held_response_bytes", operation_counts.body_bytes},
            {"refused_full", operation_counts.refused_full},
            {"prefixes_issued", issuer.issued_count()},
            {"witness", witness ? witness->address.to_string() : ""},
            {"witnessed_owners", intent_counts.owners},
            {"witnessed_intents", intent_counts.intents},
            {"sealed_owners", intent_counts.sealed}};
}

} // namespace toucan::daemon
