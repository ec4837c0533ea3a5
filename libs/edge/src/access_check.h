#pragma once

#include "toucan/base/http_header.h"
#include "toucan/edge/routing_config.h"
#include "toucan/edge/wire_names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucan::edge {

/// Why a request is not served, before anything is held for it.
enum class access_denial : std::uint8_t {
    none,
    /// 404: no route matches.
    no_route,
    /// 503: the route, or the workspace of the key, could not be read from the configuration.
    unreadable_entry,
    /// 401: the key is missing, ambiguous or unknown.
    unknown_key,
    /// 503: withdrawn keys may not be known, see `bounds::strict_revocation`.
    keys_unconfirmed,
};

/// Route and workspace of a request. The pointers belong to the configuration.
struct access {
    access_denial denial = access_denial::none;
    const route* matched = nullptr;
    /// Null on a public route and without workspaces.
    const workspace* caller = nullptr;
    /// Workspace of the key, also on a public route. Its regions bind the request.
    const workspace* key_owner = nullptr;
    /// Digest of the key that the request carries; also set if no workspace is known to have it.
    std::optional<key_digest> key;
};

/// Finds the route of a request and the workspace of its key.
/// @param keys_confirmed whether the keys of `config` are recent enough to be trusted.
[[nodiscard]] access check_access(const routing_config& config, const wire_names& names,
                                  std::string_view host, std::string_view target,
                                  const std::vector<http_header>& headers, bool keys_confirmed);
/// Status of the response to a denied request.
[[nodiscard]] int status_of(access_denial it);
/// Text for the event log.
[[nodiscard]] std::string_view reason_of(access_denial it);

} // namespace toucan::edge
