#pragma once

#include <string>
#include <vector>

namespace toucan::rpc {

/// Head row in force at the peer (empty if none) and the requested objects that the peer has.
struct fetch_reply {
    std::string head;
    /// Content without hashes; the receiver verifies each object by its content hash.
    std::vector<std::string> objects;

    friend bool operator==(const fetch_reply&, const fetch_reply&) = default;
};

} // namespace toucan::rpc
