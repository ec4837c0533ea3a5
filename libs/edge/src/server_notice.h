#pragma once

#include "toucan/base/clock.h"
#include "toucan/base/http_response.h"
#include "toucan/edge/wire_names.h"
#include "toucan/policy/reported_load.h"

#include <optional>
#include <string>
#include <vector>

namespace toucan::edge {

/// What a backend server says of itself in a response.
struct server_notice {
    /// It leaves and accepts no requests that callers send from a few seconds from now on.
    bool leaving = false;
    /// It wants no requests from this daemon for so long; only in a refusal with 503.
    std::optional<milliseconds> back_off;
    /// Requests per second that it accepts from all daemons together.
    std::optional<double> rate_limit;
    /// Its load when the response left it.
    std::optional<policy::reported_load> load;
    /// Names of headers whose values cannot be read; they count as absent.
    std::vector<std::string> unreadable;

    friend bool operator==(const server_notice&, const server_notice&) = default;
};

/// Reads the notice in a response. A header that is there more than once cannot be read.
[[nodiscard]] server_notice read_notice(const http_response& it, const wire_names& names);

} // namespace toucan::edge
