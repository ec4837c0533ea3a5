#pragma once

#include "toucan/rpc/forward_request.h"
#include "toucan/steering/configuration.h"

#include <httplib.h>

#include <optional>

namespace toucan::daemon {

/// A caller's request, parsed and checked against the configuration.
struct parsed_call {
    rpc::forward_request forward;
    bool idempotent = true;
};

/// Parses a request to `/v1/call/<service>/<path>`.
/// @param request request as received; its headers are untrusted.
/// @param config configuration in force.
/// @return the call, or nothing with a last reason that names the error and the allowed values.
std::optional<parsed_call> parse_call(const httplib::Request& request,
                                      const steering::configuration& config);

} // namespace toucan::daemon
