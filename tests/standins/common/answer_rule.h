#pragma once

#include <cstddef>
#include <string>

namespace toucan::standins {

/// What identifies a request in the answer of a backend server.
struct answer_identity {
    std::string method;
    /// Path and query as the backend server receives them.
    std::string target;
    std::string body;
    /// Value of the header `Toucan-Test-Id`.
    std::string test_id;
    /// Value of the header `Toucan-Test-Size`: the body is filled up to this size.
    std::size_t size = 0;
};

/// The body that a backend stand-in answers. Callers compute it too and compare byte for byte.
/// @param request identity of the request.
std::string answer_body(const answer_identity& request);

} // namespace toucan::standins
