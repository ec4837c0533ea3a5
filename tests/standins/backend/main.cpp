// Stand-in for a backend server: runs requests while it has free slots and records each execution.
#include "backend_state.h"
#include "common/response_rule.h"
#include "common/standin_server.h"
#include "toucan/base/last_reason.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>

namespace toucan::standins {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Interval at which a running request checks whether its caller has disconnected.
constexpr milliseconds cancellation_check_interval{5};

void send_shed_response(backend_state& state, httplib::Response& res, int status)
{
    state.count_shed();
    res.status = status;
    res.set_header("Toucan-Shed", "1");
    res.set_content("not run", "text/plain");
}

nlohmann::json execution_fields(const httplib::Request& req)
{
    const auto test_id = req.get_header_value("Toucan-Test-Id");
    const auto operation_key = req.get_header_value("Toucan-Operation-Key");
    return {{"key", operation_key.empty() ? test_id : operation_key},
            {"operation_key", operation_key},
            {"test_id", test_id},
            {"method", req.method},
            {"target", req.target},
            {"entry_region", req.get_header_value("Toucan-Entry-Region")},
            {"client_block", req.get_header_value("Toucan-Client-Block")}};
}

response_key identity_of(const httplib::Request& req)
{
    auto size = req.get_header_value("Toucan-Test-Size");
    if (size.empty() && req.has_param("Toucan-Test-Size")) {
        size = req.get_param_value("Toucan-Test-Size");
    }
    return {req.method, req.target, req.body, req.get_header_value("Toucan-Test-Id"),
            std::strtoull(size.c_str(), nullptr, 10)};
}

/// Simulates the execution by sleeping for the service time.
/// @return false if the caller closed the connection before the end.
bool wait_service_time(milliseconds service_time)
{
    const auto end = steady_clock::now() + service_time;
    while (steady_clock::now() < end) {
        const auto remaining = end - steady_clock::now();
        std::this_thread::sleep_for(
            std::min<steady_clock::duration>(cancellation_check_interval, remaining));
        if (standin_server::peer_closed()) {
            return false;
        }
    }
    return true;
}

void send_response(const backend_settings& settings, const backend_fault& fault,
                   const httplib::Request& req, httplib::Response& res)
{
    const auto body = expected_body(identity_of(req));
    switch (fault.kind) {
    case fault_kind::close_after_run:
        standin_server::close_connection();
        return;
    case fault_kind::reset:
        standin_server::reset_connection();
        return;
    case fault_kind::truncate:
        standin_server::send_raw(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                                             body.size(), body.substr(0, fault.value)));
        standin_server::close_connection();
        return;
    case fault_kind::invalid_status:
        standin_server::send_raw(fmt::format(
            "HTTP/1.1 {:03} Text\r\nToucan-Test-Backend: {}\r\nContent-Length: {}\r\n\r\n{}",
            fault.value, settings.name, body.size(), body));
        standin_server::close_connection();
        return;
    case fault_kind::invalid_name:
        standin_server::send_raw(fmt::format(
            "HTTP/1.1 200 OK\r\nX{}Y: 1\r\nToucan-Test-Backend: {}\r\nContent-Length: {}\r\n\r\n{}",
            static_cast<char>(fault.value), settings.name, body.size(), body));
        standin_server::close_connection();
        return;
    case fault_kind::stall:
        std::this_thread::sleep_for(milliseconds(fault.value));
        break;
    case fault_kind::none:
    case fault_kind::close_before_run:
        break;
    }
    res.status = 200;
    res.set_header("Toucan-Test-Backend", settings.name);
    res.set_content(body, "application/octet-stream");
}

void handle_call(backend_state& state, const httplib::Request& req, httplib::Response& res)
{
    state.count_arrival();
    const auto service_time = state.service_time();
    const auto deadline = req.get_header_value("Toucan-Deadline-Ms");
    if (!deadline.empty() && std::strtoll(deadline.c_str(), nullptr, 10) < service_time.count()) {
        send_shed_response(state, res, 504);
        return;
    }
    const auto fault = state.consume_fault(req.target);
    if (fault.kind == fault_kind::close_before_run) {
        standin_server::close_connection();
        return;
    }
    if (!state.try_acquire_slot()) {
        send_shed_response(state, res, 503);
        return;
    }
    state.record(execution_fields(req));
    const bool finished = wait_service_time(service_time);
    if (finished) {
        send_response(state.settings(), fault, req, res);
    }
    else {
        state.count_cancelled();
        standin_server::close_connection();
    }
    state.release_slot();
}

int serve(const vm_address& address, const backend_settings& settings, std::size_t connections,
          const std::string& incarnation)
{
    backend_state state(settings, incarnation);
    standin_server server(connections);
    const auto report = [&](const std::string& path, auto make_report) {
        server.add_report_endpoint(path, [&state, make_report] {
            std::this_thread::sleep_for(state.settings().report_delay);
            return make_report();
        });
    };
    report("/health", [&] { return state.health(); });
    report("/load", [&] { return state.load(); });
    server.add_control_endpoint("/control/settings",
                                [&](const auto& it) { state.update_settings(it); });
    server.add_control_endpoint("/control/drain", [&](const auto& it) { state.drain(it); });
    server.add_control_endpoint("/control/freeze",
                                [&](const auto& it) { state.freeze(it.value("frozen", true)); });
    server.add_control_endpoint(
        "/control/fault", [&](const auto& it) { state.set_fault(backend_fault::from_json(it)); });
    server.add_report_endpoint("/control/executions", [&] { return state.executions(); });
    server.add_report_endpoint("/control/usage", [&] {
        auto out = state.usage();
        out["connections"] = server.connections();
        out["refused_connections"] = server.refused_connections();
        return out;
    });

    // Without this handler, an unknown control request would run as a call.
    server.Get("/control/.*",
               [](const httplib::Request& /*req*/, httplib::Response& res) { res.status = 404; });

    const auto handler = [&](const httplib::Request& req, httplib::Response& res) {
        handle_call(state, req, res);
    };
    server.Get(".*", handler);
    server.Post(".*", handler);
    server.Put(".*", handler);
    server.Patch(".*", handler);
    server.Delete(".*", handler);
    server.Options(".*", handler);
    return server.run(address);
}

std::string random_incarnation()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}", device(), device());
}

} // namespace
} // namespace toucan::standins

int main(int argc, char** argv)
{
    using toucan::standins::backend_settings;
    try {
        cxxopts::Options options("backend_standin", "Stand-in for a backend server");
        auto add = options.add_options();
        add("listen", "a.b.c.d:port", cxxopts::value<std::string>());
        add("name", "name in the record", cxxopts::value<std::string>()->default_value("backend"));
        add("slots", "concurrent requests", cxxopts::value<std::uint32_t>()->default_value("4"));
        add("connections", "open connections", cxxopts::value<std::size_t>()->default_value("700"));
        add("service-ms", "service time", cxxopts::value<int>()->default_value("5"));
        add("cold-for-ms", "length of the cold start", cxxopts::value<int>()->default_value("0"));
        add("cold-factor", "slowdown during the cold start",
            cxxopts::value<double>()->default_value("4"));
        add("incarnation", "hexadecimal number, random by default",
            cxxopts::value<std::string>()->default_value(""));
        const auto args = options.parse(argc, argv);
        const auto address = toucan::vm_address::parse(args["listen"].as<std::string>());
        if (!address) {
            std::cerr << toucan::last_reason() << '\n';
            return 1;
        }
        backend_settings settings;
        settings.name = args["name"].as<std::string>();
        settings.slots = args["slots"].as<std::uint32_t>();
        settings.service_time = std::chrono::milliseconds(args["service-ms"].as<int>());
        settings.cold_for = std::chrono::milliseconds(args["cold-for-ms"].as<int>());
        settings.cold_factor = args["cold-factor"].as<double>();
        auto incarnation = args["incarnation"].as<std::string>();
        if (incarnation.empty()) {
            incarnation = toucan::standins::random_incarnation();
        }
        return toucan::standins::serve(*address, settings, args["connections"].as<std::size_t>(),
                                       incarnation);
    }
    catch (const std::exception& ex) {
        std::cerr << ex.what() << '\n';
        return 1;
    }
}
