#include "toucan/daemon/settings_reader.h"

#include "toucan/base/last_reason.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <exception>
#include <string_view>
#include <utility>

namespace toucan::daemon {

namespace {

using std::string;

/// A flag, its help text and its setter. The setter returns false with a last reason if the text is
/// not valid.
struct option {
    string name;
    string argument;
    string description;
    bool required = false;
    std::function<bool(settings&, const string&)> set;
};

std::vector<string> split(const string& text, char separator)
{
    std::vector<string> parts;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const auto end = std::min(text.find(separator, begin), text.size());
        if (end > begin) {
            parts.push_back(text.substr(begin, end - begin));
        }
        begin = end + 1;
    }
    return parts;
}

bool set_address(vm_address& target, const string& text)
{
    const auto address = vm_address::parse(text);
    if (address) {
        target = *address;
    }
    return address.has_value();
}

template <typename Name>
bool set_name(Name& target, const string& text)
{
    if (text.empty()) {
        fail("the name is empty");
        return false;
    }
    target = Name(text);
    return true;
}

std::optional<long> parse_number(const string& text, long lowest, long highest)
{
    long value = 0;
    const auto* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, value);
    if (ec != std::errc() || end != last || value < lowest || value > highest) {
        return fail(fmt::format("'{}' is not a number from {} to {}", text, lowest, highest));
    }
    return value;
}

bool set_seeds(settings& target, const string& text)
{
    for (const auto& it : split(text, ',')) {
        const auto address = vm_address::parse(it);
        if (!address) {
            return false;
        }
        target.seeds.push_back(*address);
    }
    return true;
}

bool set_overrides(settings& target, const string& text)
{
    for (const auto& it : split(text, ',')) {
        const auto equals = it.find('=');
        if (equals == string::npos) {
            fail(fmt::format("'{}' is not of the form a.b.c.d:port=a.b.c.d:port", it));
            return false;
        }
        const auto from = vm_address::parse(it.substr(0, equals));
        const auto to = vm_address::parse(it.substr(equals + 1));
        if (!from || !to) {
            return false;
        }
        target.peer_overrides[*from] = *to;
    }
    return true;
}

bool set_disabled(settings& target, const string& text)
{
    for (auto& it : split(text, ',')) {
        target.disabled.insert(std::move(it));
    }
    return true;
}

bool set_log_level_name(settings& target, const string& text)
{
    constexpr std::array<std::string_view, 6> levels = {"trace", "debug", "info",
                                                        "warn",  "error", "off"};
    if (std::find(levels.begin(), levels.end(), text) == levels.end()) {
        fail(fmt::format("'{}' is not one of trace, debug, info, warn, error, off", text));
        return false;
    }
    target.log_level = text;
    return true;
}

template <typename Duration>
std::function<bool(settings&, const string&)> duration_setter(Duration settings::*member,
                                                              long lowest, long highest)
{
    return [=](settings& target, const string& text) {
        const auto value = parse_number(text, lowest, highest);
        if (value) {
            target.*member = Duration(*value);
        }
        return value.has_value();
    };
}

std::vector<option> production_options()
{
    return {
        {"listen-http", "A.B.C.D:PORT", "address for callers and operators", true,
         [](settings& it, const string& text) {
             return set_address(it.listen_http, text);
         }},
        {"listen-rpc", "A.B.C.D:PORT", "address for other daemons", true,
         [](settings& it, const string& text) {
             return set_address(it.listen_rpc, text);
         }},
        {"failure-domain", "NAME", "failure domain of this VM", true,
         [](settings& it, const string& text) {
             return set_name(it.failure_domain, text);
         }},
        {"region", "NAME", "region of this VM", true,
         [](settings& it, const string& text) {
             return set_name(it.region, text);
         }},
        {"platform", "A.B.C.D:PORT", "table service, object store and VM list", false,
         [](settings& it, const string& text) {
             return set_address(it.platform.emplace(), text);
         }},
        {"seeds", "A.B.C.D:PORT,...", "RPC addresses of daemons to contact first", false,
         set_seeds},
        {"log-level", "LEVEL", "trace, debug, info, warn, error or off (default info)", false,
         set_log_level_name},
        {"drain-limit-s", "SECONDS", "longest graceful shutdown, 1 to 3600 (default 60)", false,
         duration_setter(&settings::drain_limit, 1, 3600)},
        {"lookup-lifetime-ms", "MS", "lifetime of look-up answers, 100 to 600000 (default 5000)",
         false, duration_setter(&settings::lookup_lifetime, 100, 600'000)},
        {"http-threads", "N", "connections served at once, 4 to 4096 (default 256)", false,
         [](settings& it, const string& text) {
             const auto value = parse_number(text, 4, 4096);
             it.http_threads = static_cast<std::size_t>(value.value_or(4));
             return value.has_value();
         }},
    };
}

std::vector<option> test_options()
{
    return {
        {"peer-override", "FROM=TO,...", "send calls for one address to another", false,
         set_overrides},
        {"disable", "NAME,...", "switch mechanisms off", false, set_disabled},
    };
}

string environment_name(const string& flag)
{
    string name = "TOUCAN_";
    for (const char it : flag) {
        name += it == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(it)));
    }
    return name;
}

void check_combination(const settings& result, std::vector<string>& errors)
{
    if (!result.platform && result.seeds.empty()) {
        errors.emplace_back(
            "--platform and --seeds are both absent; at least one is needed to find "
            "a configuration");
    }
    if (result.listen_http == result.listen_rpc) {
        errors.emplace_back("--listen-http and --listen-rpc name the same address");
    }
}

} // namespace

settings_result
read_settings(const std::vector<std::string>& arguments,
              const std::function<std::optional<std::string>(const std::string&)>& environment)
{
    const bool test_switches = environment("TOUCAN_TEST_SWITCHES") == "1";
    auto options = production_options();

    cxxopts::Options parser("toucand", "Steers requests of callers to backend servers. Every flag "
                                       "can be given as an environment variable: --listen-http is "
                                       "TOUCAN_LISTEN_HTTP.");
    auto add = parser.add_options();
    add("help", "print this text");
    for (const auto& it : options) {
        add(it.name, it.description, cxxopts::value<std::vector<string>>(), it.argument);
    }
    const string help = parser.help();
    // Test switches weaken guarantees, so they are accepted only if the environment enables them.
    if (test_switches) {
        for (auto& it : test_options()) {
            add(it.name, it.description, cxxopts::value<std::vector<string>>(), it.argument);
            options.push_back(std::move(it));
        }
    }

    std::vector<const char*> argv;
    argv.reserve(arguments.size());
    for (const auto& it : arguments) {
        argv.push_back(it.c_str());
    }
    settings result;
    std::vector<string> errors;
    try {
        const auto parsed = parser.parse(static_cast<int>(argv.size()), argv.data());
        if (parsed.count("help") > 0) {
            return settings_help{help};
        }
        for (const auto& it : parsed.unmatched()) {
            errors.push_back(fmt::format("'{}' is not a flag; see --help", it));
        }
        for (const auto& it : options) {
            std::vector<string> values;
            if (parsed.count(it.name) > 0) {
                values = parsed[it.name].as<std::vector<string>>();
            }
            else if (auto value = environment(environment_name(it.name))) {
                values = split(*value, ',');
            }
            if (values.empty() && it.required) {
                errors.push_back(fmt::format("--{} ({}) is required: {}", it.name,
                                             environment_name(it.name), it.description));
            }
            for (const auto& value : values) {
                if (!it.set(result, value)) {
                    errors.push_back(fmt::format("--{}: {}", it.name, last_reason()));
                }
            }
        }
    }
    catch (const std::exception& ex) {
        errors.emplace_back(ex.what());
    }
    if (errors.empty()) {
        check_combination(result, errors);
    }
    if (!errors.empty()) {
        return settings_errors{std::move(errors)};
    }
    return result;
}

} // namespace toucan::daemon
