#include "command_line.h"
#include "commands.h"
#include "daemon_query.h"
#include "exit_code.h"
#include "toucan/base/last_reason.h"

#include <fmt/format.h>

#include <algorithm>

namespace toucan::ctl {

namespace {

/// Reply of one daemon: its version, or the reason why the query failed.
struct daemon_status {
    vm_address address;
    std::optional<std::uint64_t> version;
    std::string reason;
};

std::string describe(const daemon_status& it, std::uint64_t highest)
{
    if (!it.version) {
        return fmt::format("not confirmed: {}", it.reason);
    }
    return fmt::format("version {}{}", *it.version, *it.version < highest ? " (behind)" : "");
}

} // namespace

int run_status(int argc, const char* const* argv)
{
    command_line line("status", "Shows which configuration version is in force on each daemon.",
                      "");
    line.add()("daemons", "HTTP addresses of daemons, a.b.c.d:port,...",
               cxxopts::value<std::vector<std::string>>());
    if (const auto code = line.parse(argc, argv); code) {
        return *code;
    }
    const auto daemons = parse_addresses(line.texts("daemons"));
    if (!daemons) {
        return line.usage_error(last_reason());
    }
    std::vector<daemon_status> all;
    std::uint64_t highest = 0;
    for (const auto& it : *daemons) {
        const auto version = query_version(it);
        all.push_back({it, version, version ? std::string() : last_reason()});
        highest = std::max(highest, version.value_or(0));
    }
    const bool agreed = std::all_of(all.begin(), all.end(),
                                    [&](const daemon_status& it) { return it.version == highest; });
    if (line.json()) {
        auto list = nlohmann::json::array();
        for (const auto& it : all) {
            nlohmann::json entry{{"address", it.address.to_string()},
                                 {"confirmed", it.version == highest}};
            if (it.version) {
                entry["version"] = *it.version;
            }
            else {
                entry["reason"] = it.reason;
            }
            list.push_back(std::move(entry));
        }
        print_json({{"highest_version", highest}, {"daemons", std::move(list)}}, true);
    }
    else {
        for (const auto& it : all) {
            fmt::print("{:<22} {}\n", it.address.to_string(), describe(it, highest));
        }
        fmt::print("version {} is in force on {} of {} daemons\n", highest,
                   std::count_if(all.begin(), all.end(),
                                 [&](const auto& it) { return it.version == highest; }),
                   all.size());
    }
    return agreed ? exit_ok : exit_failed;
}

} // namespace toucan::ctl
