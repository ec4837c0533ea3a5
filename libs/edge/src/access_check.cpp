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

/// Returns why the key of a request does not admit it to a route.
access_denial check_key_owner(const workspace_table& workspaces, const access& it)
{
    if (it.key_owner != nullptr && it.key_owner->unreadable) {
        // Also on a public route, because the regions of the workspace are not known.
        return access_denial::unreadable_entry;
    }
    if (it.key_owner != nullptr || it.matched->open) {
        return access_denial::none;
    }
    return it.key && workspaces.incomplete() ? access_denial::unreadable_entry
                                             : access_denial::unknown_key;
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
    // Kept without workspaces too: a later configuration may introduce them while the request
    // waits.
    if (const auto key = find_key(headers, names); !key.empty()) {
        it.key = key_digest::of(key);
    }
    const auto& workspaces = config.workspaces();
    if (!workspaces.requires_key()) {
        return it;
    }
    it.key_owner = it.key ? workspaces.find(*it.key) : nullptr;
    it.denial = check_key_owner(workspaces, it);
    if (it.matched->open) {
        return it;
    }
    it.caller = it.key_owner;
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
