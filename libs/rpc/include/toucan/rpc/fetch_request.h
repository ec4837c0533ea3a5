#pragma once

#include <string>
#include <vector>

namespace toucan::rpc {

/// Asks a peer for its head row and for content objects.
struct fetch_request {
    bool head_wanted = false;
    std::vector<std::string> hashes;

    friend bool operator==(const fetch_request&, const fetch_request&) = default;
};

} // namespace toucan::rpc
