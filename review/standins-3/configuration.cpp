#include "configuration.h"

#include <nlohmann/json.hpp>

namespace review {

std::string configuration(unsigned version, const route_settings& routes)
{
    const auto route = [&](const char* prefix, const char* type, double timeout_s,
                           int priority) -> nlohmann::json {
        return {{"host", host},
                {"prefix", prefix},
                {"route_type", type},
                {"timeout_s", timeout_s},
                {"target_latency_s", routes.target_latency_s},
                {"priority", priority},
                {"service", service},
                {"max_attempts", routes.max_attempts},
                {"cache_affinity", true},
                {"allowed_regions", nlohmann::json::array()}};
    };
    const nlohmann::json all = {
        {"version", version},
        {"routes",
         {{"r-safe", route(safe_prefix, "safe", routes.safe_timeout_s, 2)},
          {"r-unsafe", route(unsafe_prefix, "unsafe", routes.unsafe_timeout_s, 1)}}},
        {"services",
         {{service,
           {{"health_path", "/health"},
            {"max_connections", 720},
            {"protocol", "h1"},
            {"tls", false},
            {"cold_start_s", 3.0},
            {"warmup_per_s", 17.0}}}}},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", 67108864},
          {"header_timeout_s", 3},
          {"idle_timeout_s", 15}}}};
    return all.dump();
}

} // namespace review
