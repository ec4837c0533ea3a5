#pragma once

#include "toucan/rpc/forward_request.h"
#include "toucan/steering/configuration.h"

#include <httplib.h>

#include <optional>

namespace toucan::daemon {

/// A caller's request, taken apart and checked against the configuration.
struct parsed_call {
    rpc::forward_request forward;
    bool idempotent = true;
};

/// Reads a request on `/v1/call/<service>/<path>`.
/// @param request as received; its headers may come from anyone and are not trusted.
/// @param config configuration in force.
/// @return the call, or nothing with a last reason that says what is wrong and what is allowed.
std::optional<parsed_call> parse_call(const httplib::Request& request,
                                      const steering::configuration& config);

} // namespace toucan::daemon
