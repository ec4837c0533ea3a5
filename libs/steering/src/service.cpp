#include "toucan/steering/service.h"

namespace toucan::steering {

namespace {

/// A prefix matches only whole path segments: `/order` matches `/order/1` and `/order?x`, but not
/// `/orders`.
bool matches_prefix(std::string_view prefix, std::string_view path)
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
        if (it.method == method && matches_prefix(it.path_prefix, path) &&
            (best == nullptr || it.path_prefix.size() > best->path_prefix.size())) {
            best = &it;
        }
    }
    return best != nullptr ? best->idempotent : method == "GET" || method == "HEAD";
}

} // namespace toucan::steering
