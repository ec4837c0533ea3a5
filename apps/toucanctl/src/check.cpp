#include "command_line.h"
#include "commands.h"
#include "daemon_query.h"
#include "exit_code.h"
#include "load_source.h"
#include "toucan/steering/manifest.h"

#include <fmt/format.h>

namespace toucan::ctl {

int run_check(int argc, const char* const* argv)
{
    command_line line("check", "Checks the steering files of a directory and prints all errors.",
                      "DIR");
    if (const auto code = line.parse(argc, argv); code) {
        return *code;
    }
    const auto source = load_source(line.argument(), line.json());
    if (!source) {
        return exit_failed;
    }
    const auto pieces = steering::make_pieces(*source);
    std::size_t upstreams = 0;
    for (const auto& it : source->services) {
        upstreams += it.upstreams.size();
    }
    if (line.json()) {
        print_json({{"result", "ok"},
                    {"failure_domains", source->topology.failure_domains.size()},
                    {"services", source->services.size()},
                    {"upstreams", upstreams},
                    {"client_blocks", source->blocks.size()},
                    {"pieces", pieces.size()}},
                   true);
    }
    else {
        fmt::print("ok: {} failure domains, {} services, {} backend servers, {} client blocks, "
                   "{} pieces\n",
                   source->topology.failure_domains.size(), source->services.size(), upstreams,
                   source->blocks.size(), pieces.size());
    }
    return exit_ok;
}

} // namespace toucan::ctl
