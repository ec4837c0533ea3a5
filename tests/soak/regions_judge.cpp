#include "regions_judge.h"

#include "fault_windows.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <map>
#include <optional>
#include <utility>

namespace toucan::soak {

namespace {

region_set region_set_of(const std::vector<std::string>& allowed)
{
    return {allowed.empty(), {allowed.begin(), allowed.end()}};
}

region_set common_regions(const region_set& lhs, const region_set& rhs)
{
    if (lhs.unrestricted) {
        return rhs;
    }
    region_set common;
    std::copy_if(lhs.names.begin(), lhs.names.end(),
                 std::inserter(common.names, common.names.end()),
                 [&](const std::string& it) { return rhs.contains(it); });
    return common;
}

const written_workspace* find_workspace(const written_configuration& version,
                                        const std::optional<std::string>& key)
{
    const auto has_key = [&](const written_workspace& it) {
        return key && std::find(it.keys.begin(), it.keys.end(), *key) != it.keys.end();
    };
    const auto it = std::find_if(version.workspaces.begin(), version.workspaces.end(), has_key);
    return it == version.workspaces.end() ? nullptr : &*it;
}

/// Request that reached a backend server.
struct arrival {
    const std::string& id;
    const std::string& backend;
    const std::string& region;
    steady_time at;
    std::string outcome;
};

class regions_judge {
public:
    regions_judge(const history& it, const promised_bounds& bounds) : history_(it), bounds_(bounds)
    {
        for (const auto& request : it.requests) {
            requests_[request.id] = &request;
        }
    }

    std::vector<std::string> verdict()
    {
        for (const auto& it : history_.executions) {
            check({it.id, it.backend, it.region, it.at, "ran"});
        }
        for (const auto& it : history_.refused_arrivals) {
            check({it.id, it.backend, it.region, it.at,
                   it.status == 0 ? "was dropped" : fmt::format("was refused with {}", it.status)});
        }
        std::vector<std::string> lines;
        for (const auto& [outcome, it] : violations_) {
            lines.push_back(fmt::format("{} ({} in all)", it.first_line, it.count));
        }
        return lines;
    }

private:
    struct violation {
        std::string first_line;
        std::size_t count = 0;
    };
    using versions = std::vector<written_configuration>;

    void check(const arrival& it)
    {
        const auto found = requests_.find(it.id);
        if (found == requests_.end()) {
            return; // reported as a request that no caller sent
        }
        const auto& request = *found->second;
        const auto& all = history_.configurations;
        const auto first = oldest_in_force(reference_time(request));
        const auto last = std::find_if(first, all.end(), [&](const written_configuration& version) {
            return version.at > it.at;
        });
        const auto allows = [&](const written_configuration& version) {
            return regions_allowed_by(version, request).contains(it.region);
        };
        if (std::none_of(first, last, allows)) {
            report(it, request, first, last);
        }
    }

    steady_time reference_time(const sent_request& request) const
    {
        const auto began = request.began.value_or(request.sent);
        auto earliest = last_unaffected(history_, bounds_, request.daemon, began);
        if (earliest == began) {
            return began;
        }
        for (const auto& [daemon, windows] : history_.daemon_fault_windows) {
            earliest = std::min(earliest, last_unaffected(history_, bounds_, daemon, began));
        }
        return earliest;
    }

    versions::const_iterator oldest_in_force(steady_time reference) const
    {
        const auto& all = history_.configurations;
        const auto replaced = std::find_if(all.begin(), all.end(), [&](const auto& it) {
            return it.at + bounds_.apply > reference;
        });
        return replaced == all.begin() ? replaced : replaced - 1;
    }

    void report(const arrival& it, const sent_request& request, versions::const_iterator first,
                versions::const_iterator last)
    {
        auto& known = violations_[it.outcome];
        if (++known.count > 1) {
            return;
        }
        std::vector<std::string> allowed;
        for (auto version = first; version != last; ++version) {
            allowed.push_back(fmt::format("{}: {}", version->version,
                                          regions_allowed_by(*version, request).names));
        }
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(it.at - request.sent);
        known.first_line = fmt::format(
            "{} ({}{}, {}) {} at {} in {} {} ms after it was sent to daemon {}; "
            "regions by version: {}",
            it.id, request.host, request.path, request.key.value_or("no key"), it.outcome,
            it.backend, it.region, ms.count(), request.daemon, fmt::join(allowed, ", "));
    }

    const history& history_;
    const promised_bounds& bounds_;
    std::map<std::string, const sent_request*> requests_;
    /// By the outcome of the arrival.
    std::map<std::string, violation> violations_;
};

} // namespace

const written_route* find_route(const written_configuration& version, const sent_request& request)
{
    const written_route* longest = nullptr;
    for (const auto& it : version.routes) {
        if (it.host == request.host && request.path.starts_with(it.prefix) &&
            (longest == nullptr || it.prefix.size() > longest->prefix.size())) {
            longest = &it;
        }
    }
    return longest;
}

region_set regions_allowed_by(const written_configuration& version, const sent_request& request)
{
    const auto* route = find_route(version, request);
    if (route == nullptr) {
        return {};
    }
    const auto* workspace = find_workspace(version, request.key);
    if (workspace == nullptr) {
        const bool needs_key = !version.workspaces.empty() && !route->open;
        return needs_key ? region_set() : region_set_of(route->allowed_regions);
    }
    return common_regions(region_set_of(route->allowed_regions),
                          region_set_of(workspace->allowed_regions));
}

std::vector<std::string> check_allowed_regions(const history& it, const promised_bounds& bounds)
{
    return regions_judge(it, bounds).verdict();
}

} // namespace toucan::soak
