// TCP proxy that injects faults into connections between processes: it closes them, or delays,
// drops and truncates their data.
#include "common/standin_server.h"
#include "tcp_proxy.h"
#include "toucan/base/last_reason.h"

#include <cxxopts.hpp>

#include <iostream>
#include <stdexcept>
#include <thread>

namespace toucan::standins {
namespace {

constexpr std::size_t max_connections = 64;

vm_address parse_or_throw(const std::string& text)
{
    const auto it = vm_address::parse(text);
    if (!it) {
        throw std::runtime_error(last_reason());
    }
    return *it;
}

int serve(const cxxopts::ParseResult& args)
{
    tcp_proxy proxy(args["seed"].as<std::uint32_t>());
    const auto add = [&proxy](const std::string& listen, const std::string& to) {
        if (!proxy.add_route(parse_or_throw(listen), parse_or_throw(to))) {
            throw std::runtime_error("cannot listen on " + listen);
        }
    };
    if (args.count("listen") > 0) {
        add(args["listen"].as<std::string>(), args["to"].as<std::string>());
    }
    if (args.count("route") > 0) {
        for (const auto& it : args["route"].as<std::vector<std::string>>()) {
            const auto n = it.find('=');
            add(it.substr(0, n), n == std::string::npos ? std::string() : it.substr(n + 1));
        }
    }
    standin_server server(max_connections);
    server.add_control_endpoint("/control/routes",
                                [&](const auto& body) { proxy.set_faults(body); });
    server.add_report_endpoint("/control/counters", [&] { return proxy.counters(); });
    std::thread([&proxy] { proxy.run(); }).detach();
    return server.run(parse_or_throw(args["control"].as<std::string>()));
}

} // namespace
} // namespace toucan::standins

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options("proxy_standin", "Fault-injecting TCP proxy");
        auto add = options.add_options();
        add("listen", "a.b.c.d:port of a single route", cxxopts::value<std::string>());
        add("to", "a.b.c.d:port of a single route", cxxopts::value<std::string>());
        add("route", "LISTEN=TO, repeated", cxxopts::value<std::vector<std::string>>());
        add("control", "a.b.c.d:port", cxxopts::value<std::string>());
        add("seed", "of random delays", cxxopts::value<std::uint32_t>()->default_value("1"));
        return toucan::standins::serve(options.parse(argc, argv));
    }
    catch (const std::exception& ex) {
        std::cerr << ex.what() << '\n';
        return 1;
    }
}
