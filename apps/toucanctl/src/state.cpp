#include "command_line.h"
#include "commands.h"
#include "daemon_query.h"
#include "exit_code.h"
#include "toucan/base/last_reason.h"

#include <fmt/format.h>

#include <cstdio>

namespace toucan::ctl {

int run_state(int argc, const char* const* argv)
{
    command_line line("state", "Prints the state of a daemon; on one line with --json.", "ADDRESS");
    if (const auto code = line.parse(argc, argv); code) {
        return *code;
    }
    const auto address = vm_address::parse(line.argument());
    if (!address) {
        return line.usage_error(last_reason());
    }
    const auto state = query_daemon(*address, "/state");
    if (!state) {
        fmt::print(stderr, "{}: {}\n", line.argument(), last_reason());
        return exit_failed;
    }
    print_json(*state, line.json());
    return exit_ok;
}

} // namespace toucan::ctl
