#pragma once

#include <string>
#include <vector>

namespace toucan::rpc {

/// Requests the head row of a peer and immutable objects by their content hashes.
struct fetch_request {
    bool head_wanted = false;
    std::vector<std::string> hashes;

    friend bool operator==(const fetch_request&, const fetch_request&) = default;
};

} // namespace toucan::rpc
