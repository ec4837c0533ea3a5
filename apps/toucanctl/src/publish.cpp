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

/// Output and exit code of a publish.
struct report {
    json value;
    std::string text;
    exit_code code;
};

report make_report(const publishing::accepted& it)
{
    return {{{"result", "accepted"}, {"version", it.version}},
            fmt::format("accepted: version {}", it.version),
            exit_ok};
}

report make_report(const publishing::not_accepted& it)
{
    return {{{"result", "not accepted"}, {"reason", it.reason}},
            fmt::format("not accepted: {}", it.reason),
            exit_failed};
}

report make_report(const publishing::conflict& it)
{
    return {{{"result", "conflict"},
             {"winning_version", it.winning_version},
             {"winning_publisher", it.winning_publisher}},
            fmt::format("conflict: version {} of {} was first", it.winning_version,
                        it.winning_publisher),
            exit_conflict};
}

report make_report(const publishing::not_known& it)
{
    return {{{"result", "not known"}, {"reason", it.reason}},
            fmt::format("not known: {}; see 'toucanctl status'", it.reason),
            exit_not_known};
}

/// Asks the daemons until each has the version or a higher one in force, or the time is over.
/// @return those that did not confirm.
std::vector<vm_address> wait_for(std::uint64_t version, std::vector<vm_address> daemons,
                                 std::chrono::seconds limit)
{
    constexpr std::chrono::milliseconds pause{200};
    const auto end = std::chrono::steady_clock::now() + limit;
    for (;;) {
        std::vector<vm_address> behind;
        for (const auto& it : daemons) {
            if (query_version(it).value_or(0) < version) {
                behind.push_back(it);
            }
        }
        daemons = std::move(behind);
        if (daemons.empty() || std::chrono::steady_clock::now() >= end) {
            return daemons;
        }
        std::this_thread::sleep_for(pause);
    }
}

void add_unconfirmed(report& out, const std::vector<vm_address>& behind)
{
    out.value["unconfirmed"] = json::array();
    for (const auto& it : behind) {
        out.value["unconfirmed"].push_back(it.to_string());
        out.text += fmt::format("\nnot confirmed by {}", it.to_string());
    }
    if (behind.empty()) {
        out.text += ", in force on all daemons asked";
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
    command_line line("publish", "Checks the steering files of a directory and puts them in force.",
                      "DIR");
    line.add()("platform", "address of the platform, a.b.c.d:port", cxxopts::value<std::string>())(
        "publisher", "name of the publisher, shown to others in conflicts",
        cxxopts::value<std::string>())("wait", "wait until the daemons have it in force")(
        "daemons", "HTTP addresses of daemons, a.b.c.d:port,...",
        cxxopts::value<std::vector<std::string>>())("wait-s", "longest wait in seconds",
                                                    cxxopts::value<std::string>());
    if (const auto code = line.parse(argc, argv); code) {
        return *code;
    }
    constexpr const char* default_wait = "30";
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
    const auto limit = parse_seconds(line.has("wait-s") ? line.text("wait-s") : default_wait);
    if (!limit) {
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
        add_unconfirmed(out, wait_for(it->version, daemons, std::chrono::seconds(*limit)));
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
