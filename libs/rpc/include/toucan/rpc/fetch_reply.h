#pragma once

#include <string>
#include <vector>

namespace toucan::rpc {

/// The head row that the peer has in force (empty if none), and those of the objects that it has.
struct fetch_reply {
    std::string head;
    /// Content only; the receiver verifies each by its hash.
    std::vector<std::string> objects;

    friend bool operator==(const fetch_reply&, const fetch_reply&) = default;
};

} // namespace toucan::rpc
