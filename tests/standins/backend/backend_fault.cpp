#include "backend_fault.h"

#include <map>

namespace toucan::standins {

backend_fault backend_fault::from_json(const nlohmann::json& body)
{
    static const std::map<std::string, fault_kind> kinds = {
        {"none", fault_kind::none},
        {"close_before_run", fault_kind::close_before_run},
        {"close_after_run", fault_kind::close_after_run},
        {"reset", fault_kind::reset},
        {"truncate", fault_kind::truncate},
        {"stall", fault_kind::stall},
        {"invalid_status", fault_kind::invalid_status},
        {"invalid_name", fault_kind::invalid_name}};
    return {kinds.at(body.at("kind").get<std::string>()), body.value("count", std::uint64_t{1}),
            body.value("value", std::uint64_t{0}), body.value("path_prefix", std::string())};
}

} // namespace toucan::standins
