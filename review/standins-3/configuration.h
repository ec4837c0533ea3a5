#pragma once

#include <string>

namespace review {

inline constexpr const char* host = "ficu95.example";
inline constexpr const char* safe_prefix = "/lohu930/";
inline constexpr const char* unsafe_prefix = "/pufi791/";
inline constexpr const char* service = "huvo11a";

struct route_settings {
    unsigned max_attempts = 2;
    double safe_timeout_s = 1.2;
    double unsafe_timeout_s = 1.5;
    double target_latency_s = 0.3;
};

/// The operator's configuration: a safe and an unsafe route of one service, with the limits of the
/// users' example.
std::string configuration(unsigned version, const route_settings& routes = {});

} // namespace review
