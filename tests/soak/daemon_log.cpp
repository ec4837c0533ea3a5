#include "daemon_log.h"

#include <string>
#include <string_view>

namespace toucan::soak {

namespace {

/// @return the value of a field `key=value`; empty if the line lacks it.
std::string value_of(std::string_view line, std::string_view key)
{
    const auto field = " " + std::string(key) + "=";
    const auto begin = line.find(field);
    if (begin == std::string_view::npos) {
        return {};
    }
    line.remove_prefix(begin + field.size());
    return std::string(line.substr(0, line.find(' ')));
}

} // namespace

std::vector<unanswered_request> read_unanswered(std::istream& log)
{
    std::vector<unanswered_request> all;
    for (std::string line; std::getline(log, line);) {
        if (value_of(line, "event") == "unanswered") {
            all.push_back({value_of(line, "reason"), line});
        }
    }
    return all;
}

} // namespace toucan::soak
