#include "toucan/steering/read_directory.h"

#include "read_service.h"
#include "read_topology.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>
#include <tuple>
#include <utility>

namespace toucan::steering {

namespace {

std::optional<toml::table> parse_file(const steering_file& file,
                                      std::vector<steering_error>& errors)
{
    try {
        return toml::parse(file.text, file.name);
    }
    catch (const toml::parse_error& ex) {
        errors.push_back(
            {file.name, ex.source().begin.line, std::string(ex.description()), "TOML 1.0"});
        return std::nullopt;
    }
}

void read_services(const std::vector<steering_file>& files, const deployment_topology* topology,
                   std::vector<service>& services, std::vector<steering_error>& errors)
{
    std::map<service_name, std::string> seen;
    for (const auto& file : files) {
        if (file.name == topology_file) {
            continue;
        }
        const auto root = parse_file(file, errors);
        if (!root) {
            continue;
        }
        auto value = read_service(*root, file.name, topology, errors);
        if (value.name.empty()) {
            continue;
        }
        const auto [it, added] = seen.emplace(value.name, file.name);
        if (!added) {
            errors.push_back(
                {file.name, (*root)["service"]["name"].node()->source().begin.line,
                 fmt::format("the service {} is already in {}", value.name.text(), it->second),
                 "each service in one file"});
        }
        services.push_back(std::move(value));
    }
}

} // namespace

std::optional<steering_source> read_files(const std::vector<steering_file>& files,
                                          std::vector<steering_error>& errors)
{
    const auto before = errors.size();
    steering_source source;
    const auto topology_at = std::find_if(files.begin(), files.end(),
                                          [](const auto& it) { return it.name == topology_file; });
    bool topology_parsed = false;
    if (topology_at == files.end()) {
        errors.push_back({topology_file, 0, "the file is missing", "one places.toml"});
    }
    else if (const auto root = parse_file(*topology_at, errors); root) {
        read_topology(*root, topology_at->name, source.topology, source.blocks, errors);
        topology_parsed = true;
    }
    read_services(files, topology_parsed ? &source.topology : nullptr, source.services, errors);
    if (files.size() == (topology_at == files.end() ? 0 : 1)) {
        errors.push_back({topology_file, 0, "there is no service file", "at least one service"});
    }
    if (errors.size() != before) {
        std::stable_sort(errors.begin(), errors.end(), [](const auto& lhs, const auto& rhs) {
            return std::tie(lhs.file, lhs.line) < std::tie(rhs.file, rhs.line);
        });
        return std::nullopt;
    }
    std::sort(source.services.begin(), source.services.end(),
              [](const service& lhs, const service& rhs) { return lhs.name < rhs.name; });
    return source;
}

std::optional<steering_source> read_directory(const std::filesystem::path& directory,
                                              std::vector<steering_error>& errors)
{
    std::error_code ec;
    std::vector<std::filesystem::path> paths;
    for (std::filesystem::directory_iterator it(directory, ec), end; !ec && it != end;
         it.increment(ec)) {
        if (it->path().extension() == ".toml") {
            paths.push_back(it->path());
        }
    }
    if (ec) {
        errors.push_back({directory.string(), 0, fmt::format("cannot be read: {}", ec.message()),
                          "a directory with steering files"});
        return std::nullopt;
    }
    std::sort(paths.begin(), paths.end());
    std::vector<steering_file> files;
    const auto before = errors.size();
    for (const auto& it : paths) {
        std::ifstream in(it, std::ios::binary);
        std::ostringstream text;
        text << in.rdbuf();
        if (!in) {
            errors.push_back({it.filename().string(), 0, "the file cannot be read", ""});
            continue;
        }
        files.push_back({it.filename().string(), std::move(text).str()});
    }
    auto source = read_files(files, errors);
    return errors.size() == before ? std::move(source) : std::nullopt;
}

} // namespace toucan::steering
