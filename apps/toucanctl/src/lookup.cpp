#include "command_line.h"
#include "commands.h"
#include "daemon_query.h"
#include "exit_code.h"
#include "toucan/base/last_reason.h"
#include "toucan/steering/cidr.h"

#include <fmt/format.h>
#include <httplib.h>

#include <cstdio>

namespace toucan::ctl {

int run_lookup(int argc, const char* const* argv)
{
    command_line line("lookup", "Queries the entry VMs to which a daemon steers a client block.",
                      "ADDRESS");
    line.add()("service", "name of the service", cxxopts::value<std::string>())(
        "block", "client block, a.b.c.d/n", cxxopts::value<std::string>());
    if (const auto code = line.parse(argc, argv); code) {
        return *code;
    }
    const auto address = vm_address::parse(line.argument());
    if (!address) {
        return line.usage_error(last_reason());
    }
    if (line.text("service").empty()) {
        return line.usage_error("--service is missing");
    }
    if (!steering::parse_cidr(line.text("block"))) {
        return line.usage_error("--block: " + last_reason());
    }
    const auto path = httplib::append_query_params(
        "/v1/lookup", {{"service", line.text("service")}, {"block", line.text("block")}});
    const auto response = query_daemon(*address, path);
    if (!response) {
        fmt::print(stderr, "{}: {}\n", line.argument(), last_reason());
        return exit_failed;
    }
    print_json(*response, line.json());
    return exit_ok;
}

} // namespace toucan::ctl
