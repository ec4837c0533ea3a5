#include "load_source.h"

#include "daemon_query.h"
#include "toucan/steering/read_directory.h"

#include <fmt/format.h>

#include <cstdio>

namespace toucan::ctl {

std::optional<steering::steering_source> load_source(const std::string& directory, bool json)
{
    std::vector<steering::steering_error> errors;
    auto source = steering::read_directory(directory, errors);
    if (source) {
        return source;
    }
    if (json) {
        auto list = nlohmann::json::array();
        for (const auto& it : errors) {
            list.push_back({{"file", it.file},
                            {"line", it.line},
                            {"message", it.message},
                            {"allowed", it.allowed}});
        }
        print_json({{"result", "refused"}, {"errors", std::move(list)}}, true);
    }
    for (const auto& it : errors) {
        fmt::print(stderr, "{}\n", it.to_string());
    }
    fmt::print(stderr, "{}: {} error{}\n", directory, errors.size(), errors.size() == 1 ? "" : "s");
    return std::nullopt;
}

} // namespace toucan::ctl
