#include "command_line.h"
#include "commands.h"
#include "daemon_query.h"
#include "exit_code.h"
#include "load_source.h"
#include "toucan/base/last_reason.h"
#include "toucan/platform/http_object_store.h"
#include "toucan/platform/http_table_service.h"
#include "toucan/publishing/publisher.h"

#include <fmt/format.h>

#include <charconv>
#include <chrono>
#include <cstdio>
#include <thread>
#include <variant>

namespace toucan::ctl {

namespace {

using nlohmann::json;

/// Output and exit code of the publish command.
struct publish_report {
    /// Printed with `--json`.
    json value;
    /// Printed otherwise.
    std::string text;
    exit_code code;
};

publish_report make_report(const publishing::accepted& it)
{
    return {{{"result", "accepted"}, {"version", it.version}},
            fmt::format("accepted: version {}", it.version),
            exit_ok};
}

publish_report make_report(const publishing::not_accepted& it)
{
    return {{{"result", "not accepted"}, {"reason", it.reason}},
            fmt::format("not accepted: {}", it.reason),
            exit_failed};
}

publish_report make_report(const publishing::conflict& it)
{
    return {{{"result", "conflict"},
             {"winning_version", it.winning_version},
             {"winning_publisher", it.winning_publisher}},
            fmt::format("conflict: version {} of {} was published first", it.winning_version,
                        it.winning_publisher),
            exit_conflict};
}

publish_report make_report(const publishing::not_known& it)
{
    return {{{"result", "not known"}, {"reason", it.reason}},
            fmt::format("not known: {}; see 'toucanctl status'", it.reason),
            exit_not_known};
}

/// Polls the daemons until each has this version or a higher one in force, or the timeout expires.
/// @return daemons that have not confirmed the version.
std::vector<vm_address> wait_until_in_force(std::uint64_t version, std::vector<vm_address> daemons,
                                            std::chrono::seconds timeout)
{
    constexpr std::chrono::milliseconds pause{200};
    const auto end = std::chrono::steady_clock::now() + timeout;
    for (;;) {
        std::vector<vm_address> unconfirmed_daemons;
        for (const auto& it : daemons) {
            if (query_version(it).value_or(0) < version) {
                unconfirmed_daemons.push_back(it);
            }
        }
        daemons = std::move(unconfirmed_daemons);
        if (daemons.empty() || std::chrono::steady_clock::now() >= end) {
            return daemons;
        }
        std::this_thread::sleep_for(pause);
    }
}

void add_unconfirmed(publish_report& out, const std::vector<vm_address>& unconfirmed_daemons)
{
    out.value["unconfirmed"] = json::array();
    for (const auto& it : unconfirmed_daemons) {
        out.value["unconfirmed"].push_back(it.to_string());
        out.text += fmt::format("\nnot confirmed by {}", it.to_string());
    }
    if (unconfirmed_daemons.empty()) {
        out.text += ", in force on all queried daemons";
    }
    else {
        out.code = exit_not_known;
    }
}

std::optional<unsigned> parse_seconds(const std::string& text)
{
    constexpr unsigned max_seconds = 3600;
    unsigned value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size() || value > max_seconds) {
        return fail(fmt::format("--wait-s is '{}' (0 to {})", text, max_seconds));
    }
    return value;
}

} // namespace

int run_publish(int argc, const char* const* argv)
{
    command_line line("publish", "Checks the steering files of a directory and publishes them.",
                      "DIR");
    line.add()("platform", "address of the platform, a.b.c.d:port", cxxopts::value<std::string>())(
        "publisher", "name of the publisher, shown to other publishers in conflicts",
        cxxopts::value<std::string>())("wait",
                                       "wait until the configuration is in force on the daemons")(
        "daemons", "HTTP addresses of daemons, a.b.c.d:port,...",
        cxxopts::value<std::vector<std::string>>())("wait-s", "maximum time to wait, in seconds",
                                                    cxxopts::value<std::string>());
    if (const auto code = line.parse(argc, argv); code) {
        return *code;
    }
    constexpr const char* default_timeout_s = "30";
    if (line.text("platform").empty()) {
        return line.usage_error("--platform is missing");
    }
    const auto platform = vm_address::parse(line.text("platform"));
    if (!platform) {
        return line.usage_error("--platform: " + last_reason());
    }
    if (line.text("publisher").empty()) {
        return line.usage_error("--publisher is missing");
    }
    const auto timeout =
        parse_seconds(line.has("wait-s") ? line.text("wait-s") : default_timeout_s);
    if (!timeout) {
        return line.usage_error(last_reason());
    }
    std::vector<vm_address> daemons;
    if (line.has("wait")) {
        auto parsed = parse_addresses(line.texts("daemons"));
        if (!parsed) {
            return line.usage_error(last_reason());
        }
        daemons = std::move(*parsed);
    }

    const auto source = load_source(line.argument(), line.json());
    if (!source) {
        return exit_failed;
    }
    platform::http_table_service table(*platform);
    platform::http_object_store objects(*platform);
    const auto result =
        publishing::publisher(table, objects, line.text("publisher")).publish(*source);
    auto out = std::visit([](const auto& it) { return make_report(it); }, result);
    if (const auto* it = std::get_if<publishing::accepted>(&result);
        it != nullptr && line.has("wait")) {
        add_unconfirmed(out,
                        wait_until_in_force(it->version, daemons, std::chrono::seconds(*timeout)));
    }
    if (line.json()) {
        print_json(out.value, true);
    }
    else {
        fmt::print(out.code == exit_ok ? stdout : stderr, "{}\n", out.text);
    }
    return out.code;
}

} // namespace toucan::ctl
