#include "soak_configuration.h"

#include "judge.h"
#include "regions_judge.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace toucan::soak {

namespace {

constexpr const char* main_host = "a.example";
constexpr const char* other_host = "b.example";
constexpr std::uint64_t version_step = 7;
constexpr std::uint64_t object_count = 40;

constexpr const char* unrestricted_key = "plain-key";
constexpr const char* west_key = "west-key";
constexpr const char* east_key = "east-key";
/// Key of the workspace that is restricted to the region with few servers.
constexpr const char* north_key = "north-key";
/// Key that odd configurations have.
constexpr const char* withdrawn_key = "withdrawn-key";
/// Key of another workspace in even configurations than in odd ones.
constexpr const char* transferred_key = "transferred-key";

struct target_prefix {
    const char* host = nullptr;
    const char* prefix = nullptr;
    bool open = false;
};
/// Targets that are listed twice are drawn twice as often.
constexpr target_prefix target_prefixes[] = {
    {main_host, "/read/"},          {main_host, "/read/"},
    {main_host, "/write/"},         {main_host, "/write/east/"},
    {main_host, restricted_prefix}, {main_host, "/home/inner/"},
    {main_host, "/home/added/"},    {other_host, restricted_prefix},
    {main_host, moved_prefix},      {main_host, moved_prefix},
    {main_host, "/either/"},        {main_host, "/added/"},
    {main_host, "/swap/", true},    {main_host, "/swap/inner/", true},
    {other_host, "/swap/", true}};

std::vector<written_route> make_routes(bool odd)
{
    const std::string region = odd ? "west" : "east";
    const std::string other_region = odd ? "east" : "west";
    std::vector<written_route> routes = {
        {"read", main_host, "/read/", desk_service},
        {"write", main_host, "/write/", desk_service, false},
        {"write-east", main_host, "/write/east/", desk_service, false, false, {"east"}},
        {"home", main_host, restricted_prefix, archive_service, true, false, {restricted_region}},
        {"home-inner", main_host, "/home/inner/", archive_service, true, false, {"east"}},
        {"home-other", other_host, restricted_prefix, archive_service, true, false, {"east"}},
        {"moved", main_host, moved_prefix, odd ? desk_service : archive_service},
        {"either", main_host, "/either/", archive_service, true, false, {"east", "north"}},
        {"swap", main_host, "/swap/", archive_service, true, true, {region}},
        {"swap-inner", main_host, "/swap/inner/", desk_service, true, true, {other_region}},
        {"swap-other", other_host, "/swap/", archive_service, true, true, {other_region}}};
    if (odd) {
        routes.push_back(
            {"home-added", main_host, "/home/added/", archive_service, true, false, {"east"}});
    }
    else {
        routes.push_back({"added", main_host, "/added/", desk_service, true, false, {"west"}});
    }
    return routes;
}

std::vector<written_workspace> make_workspaces(bool odd)
{
    std::vector<written_workspace> workspaces = {{"plain", {unrestricted_key}},
                                                 {"west-only", {west_key}, {"west"}},
                                                 {"east-only", {east_key}, {"east"}},
                                                 {"north-only", {north_key}, {"north"}}};
    if (odd) {
        workspaces[0].keys.emplace_back(withdrawn_key);
    }
    workspaces[odd ? 1 : 2].keys.emplace_back(transferred_key);
    return workspaces;
}

/// Regions in which a service has servers.
const std::set<std::string>& regions_of(const std::string& service)
{
    static const std::set<std::string> desk = {"west", "east"};
    static const std::set<std::string> archive = {"west", "east", "north"};
    return service == desk_service ? desk : archive;
}

bool served_by(const written_configuration& version, const request_target& target)
{
    sent_request request;
    request.host = target.host;
    request.path = target.path;
    request.key = target.key;
    const auto* route = find_route(version, request);
    const auto allowed = regions_allowed_by(version, request);
    const auto& present = regions_of(route == nullptr ? "" : route->service);
    return route != nullptr &&
           std::any_of(present.begin(), present.end(),
                       [&](const std::string& region) { return allowed.contains(region); });
}

request_target make_target(std::string host, std::string path, std::optional<std::string> key)
{
    request_target it{std::move(host), std::move(path), std::move(key)};
    it.expects_service =
        served_by(make_configuration(1, {}), it) && served_by(make_configuration(2, {}), it);
    return it;
}

template <std::size_t N>
const char* draw_key(std::mt19937_64& random, const char* const (&keys)[N])
{
    return keys[random() % N];
}

} // namespace

written_configuration make_configuration(std::uint64_t number, steady_time at)
{
    const bool odd = number % 2 == 1;
    return {number * version_step, at, make_routes(odd), make_workspaces(odd)};
}

nlohmann::json to_json(const written_configuration& it)
{
    nlohmann::json all = {{"version", it.version}};
    for (const auto& route : it.routes) {
        auto& to = all["routes"][route.name];
        to = {{"host", route.host},
              {"prefix", route.prefix},
              {"service", route.service},
              {"route_type", route.idempotent ? "safe" : "unsafe"},
              {"timeout_s", 2.0},
              {"target_latency_s", 0.4},
              {"priority", 1},
              {"max_attempts", 3},
              {"cache_affinity", true}};
        if (route.open) {
            to["public"] = true;
        }
        if (!route.allowed_regions.empty()) {
            to["allowed_regions"] = route.allowed_regions;
        }
    }
    for (const auto& workspace : it.workspaces) {
        auto& to = all["tenants"][workspace.name];
        // The quota is too high to refuse requests.
        to = {{"api_keys", workspace.keys}, {"rate_per_s", 1e6}, {"burst", 1e6}};
        if (!workspace.allowed_regions.empty()) {
            to["allowed_regions"] = workspace.allowed_regions;
        }
    }
    for (const auto* service : {desk_service, archive_service}) {
        all["services"][service] = {{"health_path", "/health"},
                                    {"max_connections", 200},
                                    {"cold_start_s", 3.0},
                                    {"warmup_per_s", 10.0}};
    }
    all["limits"] = {{"max_header_bytes", 16384},
                     {"max_body_bytes", 1048576},
                     {"header_timeout_s", 5.0},
                     {"idle_timeout_s", 10.0}};
    return all;
}

std::string moved_service(const written_configuration& it)
{
    const auto moved = std::find_if(it.routes.begin(), it.routes.end(),
                                    [](const auto& route) { return route.prefix == moved_prefix; });
    return moved == it.routes.end() ? std::string() : moved->service;
}

request_target draw_target(std::mt19937_64& random)
{
    static constexpr const char* keys[] = {
        unrestricted_key, unrestricted_key, unrestricted_key, west_key,      west_key,
        east_key,         east_key,         north_key,        withdrawn_key, transferred_key};
    const auto& to = target_prefixes[random() % std::size(target_prefixes)];
    const std::string key = draw_key(random, keys);
    return make_target(to.host, fmt::format("{}{}", to.prefix, random() % object_count),
                       to.open ? std::nullopt : std::optional(key));
}

request_target draw_served_target(std::mt19937_64& random, std::string path)
{
    static constexpr const char* keys[] = {unrestricted_key, west_key, east_key};
    return make_target(main_host, std::move(path), draw_key(random, keys));
}

} // namespace toucan::soak
