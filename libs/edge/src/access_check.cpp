#include "access_check.h"

#include "http_message.h"

#include "toucan/base/text.h"

#include <algorithm>

namespace toucan::edge {

namespace {

/// Returns the key of a request.
/// @return empty if there is none, if it has another scheme, or if there are several headers: the
/// backend server could otherwise be reached under a workspace that the caller did not mean.
std::string_view find_key(const std::vector<http_header>& headers, const wire_names& names)
{
    const auto is_authorization = [&](const http_header& it) {
        return equals_ignoring_case(it.name, names.authorization);
    };
    if (std::count_if(headers.begin(), headers.end(), is_authorization) != 1) {
        return {};
    }
    const auto value = find_header(headers, names.authorization);
    const auto space = value.find(' ');
    if (space == std::string_view::npos ||
        !equals_ignoring_case(value.substr(0, space), names.key_scheme)) {
        return {};
    }
    return from_absl(absl::StripAsciiWhitespace(to_absl(value.substr(space + 1))));
}

access find_workspace(const workspace_table& workspaces, std::string_view key, access it)
{
    if (!key.empty()) {
        it.key = key_digest::of(key);
        it.caller = workspaces.find(*it.key);
    }
    if (it.caller == nullptr) {
        it.denial = !key.empty() && workspaces.incomplete() ? access_denial::unreadable_entry
                                                            : access_denial::unknown_key;
    }
    else if (it.caller->unreadable) {
        it.denial = access_denial::unreadable_entry;
    }
    return it;
}

} // namespace

access check_access(const routing_config& config, const wire_names& names, std::string_view host,
                    std::string_view target, const std::vector<http_header>& headers,
                    bool keys_confirmed)
{
    access it;
    it.matched = config.find(host, target);
    if (it.matched == nullptr) {
        it.denial =
            config.routes_incomplete() ? access_denial::unreadable_entry : access_denial::no_route;
        return it;
    }
    if (it.matched->unreadable) {
        it.denial = access_denial::unreadable_entry;
        return it;
    }
    if (!config.workspaces().requires_key() || it.matched->open) {
        return it;
    }
    it = find_workspace(config.workspaces(), find_key(headers, names), it);
    if (it.denial == access_denial::none && !keys_confirmed) {
        it.denial = access_denial::keys_unconfirmed;
    }
    return it;
}

int status_of(access_denial it)
{
    switch (it) {
    case access_denial::no_route:
        return 404;
    case access_denial::unknown_key:
        return 401;
    case access_denial::none:
    case access_denial::unreadable_entry:
    case access_denial::keys_unconfirmed:
        break;
    }
    return 503;
}

std::string_view reason_of(access_denial it)
{
    switch (it) {
    case access_denial::no_route:
        return "no route";
    case access_denial::unknown_key:
        return "missing or unknown key";
    case access_denial::unreadable_entry:
        return "entry of the configuration cannot be read";
    case access_denial::keys_unconfirmed:
        return "keys are not confirmed";
    case access_denial::none:
        break;
    }
    return "allowed";
}

} // namespace toucan::edge
