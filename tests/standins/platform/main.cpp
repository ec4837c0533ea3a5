// Stand-in for the platform: table service, object store and VM list over HTTP.
#include "common/standin_server.h"
#include "platform_state.h"
#include "toucan/base/content_hash.h"
#include "toucan/base/last_reason.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>
#include <thread>

namespace toucan::standins {
namespace {

constexpr std::size_t max_connections = 4096;

/// Counter name of a row request: `table/` and the part of the key before the first slash, for
/// example `table/claim`.
std::string table_kind(const std::string& key)
{
    return "table/" + key.substr(0, key.find('/'));
}

/// Applies the response delay, then checks the outage switch and the rate limits.
/// @return false if the request is rejected; the status is then 503.
bool admit(platform_state& state, bool is_write, const std::string& kind, httplib::Response& res)
{
    std::this_thread::sleep_for(state.faults().delay);
    if (state.admit(is_write, kind)) {
        return true;
    }
    res.status = 503;
    return false;
}

void get_row(platform_state& state, const httplib::Request& req, httplib::Response& res)
{
    const std::string key = req.matches[1];
    if (!admit(state, false, table_kind(key), res)) {
        return;
    }
    const auto row = state.read(key);
    if (!row.applied) {
        res.status = 404;
        return;
    }
    res.set_header("Toucan-Revision", std::to_string(row.revision));
    res.set_content(row.value, "application/octet-stream");
}

void put_row(platform_state& state, const httplib::Request& req, httplib::Response& res)
{
    const std::string key = req.matches[1];
    if (!req.has_header("Toucan-Expected-Revision")) {
        res.status = 400;
        return;
    }
    const auto expected =
        std::strtoull(req.get_header_value("Toucan-Expected-Revision").c_str(), nullptr, 10);
    if (!admit(state, true, table_kind(key), res)) {
        return;
    }
    if (state.consume_late_write(key)) {
        standin_server::close_connection();
        std::thread([&state, key, expected, value = req.body, late_by = state.faults().late_by] {
            std::this_thread::sleep_for(late_by);
            state.write(key, expected, value);
        }).detach();
        return;
    }
    const auto reply = state.write(key, expected, req.body);
    if (state.consume_lost_reply(key)) {
        standin_server::close_connection();
        return;
    }
    res.status = reply.applied ? 200 : 412;
    res.set_header("Toucan-Revision", std::to_string(reply.revision));
    res.set_content(reply.applied ? std::string() : reply.value, "application/octet-stream");
}

void get_object(platform_state& state, const httplib::Request& req, httplib::Response& res)
{
    if (!admit(state, false, "objects", res)) {
        return;
    }
    const auto bytes = state.object(req.matches[1]);
    if (!bytes) {
        res.status = 404;
        return;
    }
    res.set_content(*bytes, "application/octet-stream");
}

void put_object(platform_state& state, const httplib::Request& req, httplib::Response& res)
{
    if (!admit(state, true, "objects", res)) {
        return;
    }
    const std::string hash = req.matches[1];
    if (content_hash(req.body) != hash) {
        res.status = 400;
        return;
    }
    state.put_object(hash, req.body);
    res.status = 200;
}

int serve(const vm_address& address)
{
    platform_state state;
    standin_server server(max_connections);
    using request = const httplib::Request&;
    using response = httplib::Response&;
    server.Get("/table/(.+)", [&](request req, response res) { get_row(state, req, res); });
    server.Put("/table/(.+)", [&](request req, response res) { put_row(state, req, res); });
    server.Get("/objects/([0-9a-f]{64})",
               [&](request req, response res) { get_object(state, req, res); });
    server.Put("/objects/([0-9a-f]{64})",
               [&](request req, response res) { put_object(state, req, res); });
    server.Get("/vms", [&](request /*req*/, response res) {
        if (admit(state, false, "vms", res)) {
            set_json(res, state.vms());
        }
    });
    server.add_control_endpoint("/control/faults",
                                [&](const auto& body) { state.update_faults(body); });
    server.add_control_endpoint("/control/vms", [&](const auto& body) { state.set_vms(body); });
    server.add_report_endpoint("/control/counters", [&] { return state.counters(); });
    return server.run(address);
}

} // namespace
} // namespace toucan::standins

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options("platform_standin", "Stand-in for the platform");
        options.add_options()("listen", "a.b.c.d:port", cxxopts::value<std::string>());
        const auto args = options.parse(argc, argv);
        const auto address = toucan::vm_address::parse(args["listen"].as<std::string>());
        if (!address) {
            std::cerr << toucan::last_reason() << '\n';
            return 1;
        }
        return toucan::standins::serve(*address);
    }
    catch (const std::exception& ex) {
        std::cerr << ex.what() << '\n';
        return 1;
    }
}
