#include "toucan/steering/service.h"

namespace toucan::steering {

namespace {

/// A rule covers its path and everything below it, but not a longer name: `/order` covers
/// `/order/1` and `/order?x`, not `/orders`.
bool covers(std::string_view prefix, std::string_view path)
{
    if (path.substr(0, prefix.size()) != prefix) {
        return false;
    }
    if (prefix.empty() || prefix.back() == '/' || path.size() == prefix.size()) {
        return true;
    }
    const auto next = path[prefix.size()];
    return next == '/' || next == '?';
}

} // namespace

bool service::is_idempotent(std::string_view method, std::string_view path) const
{
    const operation_rule* best = nullptr;
    for (const auto& it : operations) {
        if (it.method == method && covers(it.path_prefix, path) &&
            (best == nullptr || it.path_prefix.size() > best->path_prefix.size())) {
            best = &it;
        }
    }
    return best != nullptr ? best->idempotent : method == "GET" || method == "HEAD";
}

} // namespace toucan::steering
